// Package store is the HTTP client of the platform's configuration store.
package store
