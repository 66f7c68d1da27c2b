// Package ledger keeps the rules text, its revision and its history as one value in the configuration store.
package ledger
