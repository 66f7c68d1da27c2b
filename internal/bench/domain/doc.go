// Package domain measures service while a failure domain is taken out and brought back, and while more is offered than can be served.
package domain
