// Package hgconfig reads and validates the settings files of nodes and of entry VMs.
package hgconfig
