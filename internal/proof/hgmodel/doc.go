// Package hgmodel simulates agent programs on model engines in virtual time, so that policies for placing and queueing
// their turns can be compared within seconds. The simulated engines use continuous batching, chunked prefill, a prefix
// cache of bounded size and a bounded queue that refuses the excess. Replica selection and the placer's queue are the
// production code.
package hgmodel
