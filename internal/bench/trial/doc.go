// Package trial runs the main job on one machine: a file is pushed to all VMs while live requests flow.
package trial
