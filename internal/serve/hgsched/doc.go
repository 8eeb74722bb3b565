// Package hgsched admits and routes calls for concurrent callers: a call waits here until it is granted a slot on an endpoint.
package hgsched
