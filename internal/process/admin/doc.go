// Package admin serves metrics, health and profiles on a listener of their own.
package admin
