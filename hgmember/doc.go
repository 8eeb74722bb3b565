// Package hgmember knows which nodes of a cell are alive, as a state machine: registrations, heartbeats and the time in, views out.
package hgmember
