// Package hgattempt defines the metadata of requests and responses, independent of the headers that carry it: what callers
// send, what replicas are sent and what they return.
package hgattempt
