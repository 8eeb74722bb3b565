// Package hgmemory bounds the bytes that all requests of a node hold at once.
package hgmemory
