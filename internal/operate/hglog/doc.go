// Package hglog makes the structured logger of a process.
package hglog
