// Package hgnode assembles a node: it connects the state machines of membership, presets, shards and calls with timers, the
// platform, the other nodes and the callers.
package hgnode
