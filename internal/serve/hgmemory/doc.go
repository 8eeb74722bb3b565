// Package hgmemory limits the memory that a node uses for responses that are buffered until they are complete.
package hgmemory
