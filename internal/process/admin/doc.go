// Package admin serves metrics, health checks and profiles over HTTP on a separate listener.
package admin
