// Package response refuses HTTP/1.1 responses that package net/http accepts although they are malformed or cut. Every process that
// reads responses with net/http does so through it.
package response
