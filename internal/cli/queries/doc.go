// Package queries defines the read-only commands.
package queries
