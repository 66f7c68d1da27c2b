// Package pin ties each version name to one manifest, once, in the configuration store.
package pin
