// Package catalog holds what a process knows of the documents and of the members, each at its newest known state.
package catalog
