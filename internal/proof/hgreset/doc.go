// Package hgreset stands in for servers that answer long uploads early and reset the connection, and for connections to them on which the
// upload, and not the answer, fails by the reset.
package hgreset
