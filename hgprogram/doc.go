// Package hgprogram holds the programs of one shard as a deterministic state machine. Calls and the current time go in;
// records to commit, answers and refusals come out. It does no I/O: the owner of the shard commits the records and dispatches
// the calls.
package hgprogram
