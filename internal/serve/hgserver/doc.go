// Package hgserver is an HTTP server that stops without losing a request: unlike net/http's own shutdown it looks for a request in
// the listener's queue and on each connection before it closes them, and it logs one that a closed connection takes with it.
package hgserver
