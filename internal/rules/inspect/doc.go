// Package inspect checks a desired state before the operator sends it, and compares it with the one in force.
package inspect
