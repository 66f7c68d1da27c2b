// Package stream reads the events of an answer one by one, so that only whole events are passed on and a broken
// answer can go on at another upstream after the last of them.
package stream
