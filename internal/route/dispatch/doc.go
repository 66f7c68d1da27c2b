// Package dispatch answers callers: it checks a request, chooses upstreams, carries attempts and states the outcome.
package dispatch
