// Package hgloss says from the logs of all VMs where programs that were late lost their time.
package hgloss
