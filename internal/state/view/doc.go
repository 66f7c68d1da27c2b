// Package view builds immutable views of the rules, pins and members in the catalog, which request handling reads
// without locks.
package view
