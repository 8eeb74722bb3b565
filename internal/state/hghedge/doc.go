// Package hghedge wraps a store table with hedged requests: an operation whose answer is late is sent again, and the first
// answer counts.
package hghedge
