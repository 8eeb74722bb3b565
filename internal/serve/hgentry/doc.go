// Package hgentry is the HTTP proxy that callers connect to: it routes each request, forwards it to a replica and relays
// the response.
package hgentry
