// Package manifest defines the manifest of a model version: the digests of its chunks and of its whole content.
package manifest
