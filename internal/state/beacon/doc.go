// Package beacon tells entry processes the load of each upstream, in datagrams from the side process beside it.
package beacon
