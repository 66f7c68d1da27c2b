package settings

const (
	// defaultControlConnections leaves half of the file descriptors of the smallest VM to everything else. No process has
	// more than a few connections from each of about 200 others.
	defaultControlConnections = 1024
	// defaultControlBuffer is used where the memory of the process is not known.
	defaultControlBuffer = 64 << 20
	// controlBufferFraction divides the memory of the process to give that for messages of other processes.
	controlBufferFraction = 16
	// minControlBuffer allows for the largest message that processes send each other, a list of all upstreams.
	minControlBuffer        = 4 << 20
	defaultAdminConnections = 16
)

// Listeners limits what callers of the listeners for other processes and for operators may take.
type Listeners struct {
	// ControlConnections is the maximum number of open connections from other processes.
	ControlConnections int
	// ControlBuffer is the memory for messages of other processes that are being received, for all connections together;
	// 0 for a sixteenth of the memory of the process.
	ControlBuffer Bytes
	// AdminConnections is the maximum number of open connections to the admin listener.
	AdminConnections int
}

func defaultListeners() Listeners {
	return Listeners{ControlConnections: defaultControlConnections, AdminConnections: defaultAdminConnections}
}

// ControlBytes returns ControlBuffer, or its default for a process with the given memory in MiB, 0 if that is unknown.
func (l *Listeners) ControlBytes(memoryMegabytes int) int64 {
	switch {
	case l.ControlBuffer > 0:
		return int64(l.ControlBuffer)
	case memoryMegabytes > 0:
		return max(minControlBuffer, int64(memoryMegabytes)<<20/controlBufferFraction)
	default:
		return defaultControlBuffer
	}
}

func checkListeners(d *decoder, l *Listeners) {
	d.require(l.ControlConnections > 0, "Listeners.ControlConnections", "must be 1 or greater")
	d.require(l.AdminConnections > 0, "Listeners.AdminConnections", "must be 1 or greater")
	d.require(l.ControlBuffer == 0 || l.ControlBuffer >= minControlBuffer, "Listeners.ControlBuffer", "must be %s or more, or 0B for a sixteenth of the memory", Bytes(minControlBuffer))
}
