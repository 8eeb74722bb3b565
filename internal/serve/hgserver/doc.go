// Package hgserver is an HTTP server that knows what is on each of its connections, so that it can report a request that a
// closed connection takes with it.
package hgserver
