// Package picker holds the policies that choose an upstream.
package picker
