// Package pin binds each version name to one manifest, permanently, in the configuration store.
package pin
