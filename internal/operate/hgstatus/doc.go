// Package hgstatus is what an entry VM tells operators of itself.
package hgstatus
