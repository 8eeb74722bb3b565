// Package hgjournal keeps the durable records of all shards of a node: group commits, segments and recovery.
package hgjournal
