// Package hgcall defines the calls that programs make to models and tools, with their results and refusals. The client
// library of callers and the nodes share these types.
package hgcall
