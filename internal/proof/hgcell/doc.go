// Package hgcell runs a whole cell in one process, with fake platform and endpoints, for demonstrations and tests.
package hgcell
