// Package hgowner runs the calls of the shards that a node owns: it passes them to the programs' state machines,
// waits until the records are durable, dispatches the calls to endpoints and records their outcomes.
package hgowner
