// Package message holds the generated messages and services that the processes of oriolehub speak between themselves.
package message
