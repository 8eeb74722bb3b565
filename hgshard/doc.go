// Package hgshard plans which shards a node takes and gives up, as a state machine: rows and members in, a plan out.
package hgshard
