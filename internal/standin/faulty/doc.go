// Package faulty is a stand-in for upstreams in trouble, which read slowly or write without end, for tests.
package faulty
