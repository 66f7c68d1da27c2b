// Package stager loads the target version into the model engine next to a side process on the platform. It fetches and
// verifies the chunks, writes them to the engine's staging area, waits for its time slot and orders the load.
package stager
