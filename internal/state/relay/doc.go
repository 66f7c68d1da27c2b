// Package relay brings the documents of the configuration store into the catalog.
package relay
