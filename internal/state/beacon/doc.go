// Package beacon sends the state and load of each upstream from its side process to the entry processes in UDP
// datagrams.
package beacon
