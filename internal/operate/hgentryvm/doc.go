// Package hgentryvm assembles the process of an entry VM: the listeners for callers, peers, the directory, readiness and
// metrics, the heartbeats between entry VMs, and the watches of the store's tables.
package hgentryvm
