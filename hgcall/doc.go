// Package hgcall defines the calls that programs make, their results and their refusals.
package hgcall
