// Package roster polls the platform's list of VMs, which may be out of date, for VMs that are leaving.
package roster
