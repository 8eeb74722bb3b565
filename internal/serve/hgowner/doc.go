// Package hgowner runs the calls of the shards that a node owns: it feeds the programs' state machines,
// waits for durable records, dispatches to endpoints and settles the outcomes.
package hgowner
