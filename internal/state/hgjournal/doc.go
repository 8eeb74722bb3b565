// Package hgjournal stores the records of a node's shards durably: group commits, compaction into segments, and recovery.
//
// A batch holds records of several shards and is written in one transaction, on condition that no other node has changed
// the rows of these shards since this node claimed them. A node that has lost a shard can therefore commit nothing for it.
package hgjournal
