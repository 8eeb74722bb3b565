// Package hgtimes lists the constants of time in the source, with their values and what their comments say of them.
package hgtimes
