// Package report draws the results of experiments.
package report
