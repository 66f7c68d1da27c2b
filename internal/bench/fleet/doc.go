// Package fleet measures how fast rule changes reach many daemons and the resources that the control plane uses in each.
package fleet
