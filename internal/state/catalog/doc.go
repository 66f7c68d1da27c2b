// Package catalog is the in-memory replica of all documents and member records, each in its newest known state.
package catalog
