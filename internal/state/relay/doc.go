// Package relay copies values of the configuration store into documents of the catalog.
package relay
