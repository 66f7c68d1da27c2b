// Package roster follows the platform's lagging list of VMs.
package roster
