// Package delta encodes a value as what changed of an earlier one, so that small edits of large documents cost little to spread.
package delta
