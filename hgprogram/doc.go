// Package hgprogram keeps the programs of one shard as a state machine:
// calls and the time in; records to commit, answers and refusals out.
package hgprogram
