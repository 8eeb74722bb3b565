// Package hgsite runs entry VMs in one process, against stand-ins for the platform's store, replicas and callers on loopback.
package hgsite
