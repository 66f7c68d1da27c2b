// Package response refuses HTTP/1.1 responses that package net/http accepts although they are malformed.
package response
