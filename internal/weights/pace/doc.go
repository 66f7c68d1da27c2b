// Package pace limits the rate of weight transfers on a VM's network link and gives live requests precedence.
package pace
