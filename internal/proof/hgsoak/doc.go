// Package hgsoak runs entry VMs as processes under random faults, and checks what callers are told against what replicas run.
package hgsoak
