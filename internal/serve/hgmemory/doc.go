// Package hgmemory limits the memory that a node uses for the requests of callers and for responses that are buffered until they are
// complete.
package hgmemory
