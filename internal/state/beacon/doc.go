// Package beacon sends the state and load of each upstream from its side process to the entry processes in UDP
// datagrams.
//
// A side process sends its reports to a few entry processes of each failure domain only. These pass them on to the
// others of their domain, many in one datagram. So what a process sends and receives does not grow with the product of
// the upstreams and the entry processes.
package beacon
