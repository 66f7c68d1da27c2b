// Package settings loads the YAML settings files of the processes. It rejects unknown keys and reports all errors of a
// file at once.
package settings
