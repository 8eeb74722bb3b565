// Package hgroute chooses the endpoint that runs a call. It is a deterministic state machine: its inputs are loads,
// results of calls and the current time, its output is the chosen endpoint.
package hgroute
