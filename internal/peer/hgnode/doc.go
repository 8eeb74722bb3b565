// Package hgnode composes a node: it connects the state machines with timers, the platform, the other nodes and the callers.
package hgnode
