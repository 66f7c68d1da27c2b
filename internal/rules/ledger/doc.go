// Package ledger stores the text of the rules and its history as one value in the configuration store.
package ledger
