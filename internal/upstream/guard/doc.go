// Package guard decides at the side process whether its upstream may take one more request.
package guard
