// Package plan draws the faults of a soak by a seed, and reads and writes them as text, one fault a line.
package plan
