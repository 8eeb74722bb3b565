// Package hgtimes lists the time constants in the source with their values and comments, and prints them as docs/TIMES.md.
package hgtimes
