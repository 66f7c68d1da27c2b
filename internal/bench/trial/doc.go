// Package trial runs a whole deployment on one machine and pushes a file to all its VMs while they serve requests.
package trial
