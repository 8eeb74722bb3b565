// Package hghostile tests that the system's own processes survive clients that nobody controls: bodies and heads that never end, bodies
// beyond the limit, idle connections and answers that nobody reads.
package hghostile
