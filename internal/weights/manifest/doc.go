// Package manifest describes the content of one model version by the digests of its chunks and of the whole.
package manifest
