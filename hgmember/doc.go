// Package hgmember tracks which nodes of a cell are alive, as a deterministic state machine: registrations, heartbeats and the
// current time go in; the live, silent and dead members come out.
package hgmember
