// Package pace bounds the bytes that weights take of a VM's link, and lets live requests go first.
package pace
