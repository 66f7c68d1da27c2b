// Package report plots the results of experiments.
package report
