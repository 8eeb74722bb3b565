// Package hgloss breaks down the time of programs by phase from the logs of all VMs, to show where late programs lost time.
package hgloss
