// Package hgroute chooses the endpoint for a call as a state machine: loads, results and the time in, a choice out.
package hgroute
