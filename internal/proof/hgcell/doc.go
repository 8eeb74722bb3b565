// Package hgcell runs a whole cell in one process, with stand-ins for the platform and the endpoints, for demonstrations and tests.
package hgcell
