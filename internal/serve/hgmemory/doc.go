// Package hgmemory bounds the bytes of the answers that a node holds at once until they are whole.
package hgmemory
