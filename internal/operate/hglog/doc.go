// Package hglog provides the structured logger of a process and a non-blocking writer for its output.
package hglog
