// Package table builds the immutable routing table, which request handlers read through an atomic pointer.
package table
