// Package delta encodes a value as the difference from an earlier one, so that small edits of large documents take
// little bandwidth to replicate.
package delta
