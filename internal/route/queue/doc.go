// Package queue holds requests that wait for room, and serves client accounts in proportion to their shares.
package queue
