// Package hgsuspect finds requests that seem to crash the replicas that run them, and refuses them at all entry VMs. A crash is
// suspected when a replica's connection breaks while it runs a request; in records and log fields crashes are called breaks.
package hgsuspect
