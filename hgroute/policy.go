package hgroute

import (
	"math"
	"time"
)

// NewPolicy returns the policy with the given name, or the score policy if the name is unknown.
func NewPolicy(name string) Policy {
	switch name {
	case "roundRobin":
		return roundRobin{}
	case "leastInFlight":
		return leastInFlight{}
	case "hashAffinity":
		return hashAffinity{}
	}
	return score{}
}

// score chooses the endpoint with the least expected cost in milliseconds: queueing, computing the uncached part of the
// prompt, slower decoding, and a penalty for another failure domain.
type score struct{}

// Pick returns the endpoint with the least score. The scan starts at a different endpoint each time, so that equal scores
// do not favor one endpoint.
func (score) Pick(r *Router, q Query, now time.Duration) Choice {
	best := Choice{Endpoint: -1}
	least := math.Inf(1)
	list := r.byTarget[q.Target]
	r.offset++
	n := 0
	for k := range list {
		i := list[wrap(k+r.offset%len(list), len(list))]
		e := &r.eps[i]
		if i == q.Exclude || !e.usable(now) || q.New && !e.hasRoom(now) {
			continue
		}
		n++
		c := r.terms(e, i, &q, now)
		if s := c.Score(); s < least {
			best, least = c, s
		}
	}
	best.Candidates = n
	return best
}

// wrap returns i modulo n, for i below 2n.
func wrap(i, n int) int {
	if i >= n {
		return i - n
	}
	return i
}

// terms returns a Choice of endpoint i with the terms of its score.
func (r *Router) terms(e *endpoint, i int, q *Query, now time.Duration) Choice {
	n := e.inFlight(now)
	c := Choice{Endpoint: i, Wait: !e.hasSlotAt(n, now)}
	uncached := q.Tokens
	if i == q.Home {
		uncached -= q.HomeTokens
	}
	c.PrefillMs = float64(max(uncached, 0)) * r.prefillMs * r.preset.RecomputeWeight
	if c.Wait {
		c.WaitMs = e.expectedWaitMs(n)
	}
	c.DecodeMs = float64(q.Output) * e.slowdownMs() * float64(n)
	if e.remote {
		c.DomainMs = r.preset.RemoteDomainMs
	}
	return c
}

// String returns the policy's name in presets.
func (score) String() string { return "score" }

// roundRobin chooses the usable endpoints in turn.
type roundRobin struct{}

// Pick returns the next endpoint that can start a call, or the next usable one if all are full.
func (roundRobin) Pick(r *Router, q Query, now time.Duration) Choice {
	list := r.byTarget[q.Target]
	c := Choice{Endpoint: -1}
	for k := range list {
		i := list[(r.offset+k)%len(list)]
		e := &r.eps[i]
		if i == q.Exclude || !e.usable(now) {
			continue
		}
		c.Candidates++
		if c.Endpoint < 0 || c.Wait {
			c.Endpoint, c.Wait = i, !e.hasSlot(now)
		}
		if !c.Wait {
			r.offset = (r.offset + k + 1) % len(list)
			return c
		}
	}
	return c
}

// String returns the policy's name in presets.
func (roundRobin) String() string { return "roundRobin" }

// leastInFlight chooses by the number of calls in flight.
type leastInFlight struct{}

// Pick returns the endpoint with the fewest calls in flight, counting those of peers.
func (leastInFlight) Pick(r *Router, q Query, now time.Duration) Choice {
	c := Choice{Endpoint: -1}
	least := 0
	list := r.byTarget[q.Target]
	r.offset++
	for k := range list {
		i := list[(r.offset+k)%len(list)]
		e := &r.eps[i]
		if i == q.Exclude || !e.usable(now) {
			continue
		}
		c.Candidates++
		if n := e.inFlight(now); c.Endpoint < 0 || n < least {
			c.Endpoint, c.Wait, least = i, !e.hasSlot(now), n
		}
	}
	return c
}

// String returns the policy's name in presets.
func (leastInFlight) String() string { return "leastInFlight" }

// hashAffinity chooses the endpoint with the highest hash of program and endpoint.
type hashAffinity struct{}

// Pick returns the program's endpoint by rendezvous hashing over the usable endpoints.
func (hashAffinity) Pick(r *Router, q Query, now time.Duration) Choice {
	c := Choice{Endpoint: -1}
	most := uint64(0)
	for _, i := range r.byTarget[q.Target] {
		e := &r.eps[i]
		if i == q.Exclude || !e.usable(now) {
			continue
		}
		c.Candidates++
		if h := fmix64(q.Program ^ fmix64(uint64(i)+1)); c.Endpoint < 0 || h > most {
			c.Endpoint, c.Wait, most = i, !e.hasSlot(now), h
		}
	}
	return c
}

// String returns the policy's name in presets.
func (hashAffinity) String() string { return "hashAffinity" }

// fmix64 is the 64-bit finalizer of MurmurHash3.
func fmix64(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
