package node

// DrainDelay is drainDelay.
const DrainDelay = drainDelay
