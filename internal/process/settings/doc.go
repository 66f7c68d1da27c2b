// Package settings reads the YAML settings of the processes, strictly, and reports every fault at once.
package settings
