// Package hgpeer connects the nodes (entry VMs) of a site. It tracks membership by heartbeats, selects the node that owns
// a program and the node that places requests on replicas, and carries the calls between nodes over net/rpc.
package hgpeer
