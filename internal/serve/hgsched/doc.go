// Package hgsched runs admission and routing for concurrent callers: a call waits here until an endpoint has a place for it.
package hgsched
