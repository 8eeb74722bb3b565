// Package hgreplica tracks the replicas of all services and picks one for each request: the one on which the request is
// expected to lose the least time, by the replica's load, delay and failures and by what it has cached of the prompt.
package hgreplica
