// Package load sends live requests at a steady rate and checks every answer, for experiments and tests.
package load
