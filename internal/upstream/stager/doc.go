// Package stager brings the named version into the model engine beside a side process on the platform: it
// fetches and checks the chunks, stages them, waits for its turn and orders the load.
package stager
