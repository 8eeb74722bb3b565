// Package hgshard maps programs to shards and shards to nodes, and plans as a deterministic state machine which shards a node
// claims and releases: shard rows and members go in, a plan comes out.
package hgshard
