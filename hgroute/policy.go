package hgroute

import (
	"math"
	"time"
)

// NewPolicy returns the policy of that name; an unknown name gives the score policy.
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

// score weighs the expected wait, the prefix to compute, the speed of decoding and the failure domain.
type score struct{}

// Pick returns the endpoint with the least sum of terms.
func (score) Pick(r *Router, q Query, now time.Duration) Choice {
	best := Choice{Endpoint: -1}
	least := math.Inf(1)
	list := r.byTarget[q.Target]
	r.turn++
	n := 0
	for k := range list {
		i := list[wrap(k+r.turn%len(list), len(list))]
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

// terms returns the terms of endpoint i's score.
func (r *Router) terms(e *endpoint, i int, q *Query, now time.Duration) Choice {
	n := e.inFlight(now)
	c := Choice{Endpoint: i, Wait: !e.freeWith(n, now)}
	uncached := q.Tokens
	if i == q.Home {
		uncached -= q.HomeTokens
	}
	c.PrefillMs = float64(max(uncached, 0)) * r.prefillMs * r.preset.RecomputeWeight
	if c.Wait {
		c.WaitMs = e.waitMs(n)
	}
	c.DecodeMs = float64(q.Output) * e.slowdownMs() * float64(n)
	if e.remote {
		c.DomainMs = r.preset.RemoteDomainMs
	}
	return c
}

// String names the policy.
func (score) String() string { return "score" }

// roundRobin takes the next endpoint with a place free.
type roundRobin struct{}

// Pick returns the next endpoint in turn.
func (roundRobin) Pick(r *Router, q Query, now time.Duration) Choice {
	list := r.byTarget[q.Target]
	c := Choice{Endpoint: -1}
	for k := range list {
		i := list[(r.turn+k)%len(list)]
		e := &r.eps[i]
		if i == q.Exclude || !e.usable(now) {
			continue
		}
		c.Candidates++
		if c.Endpoint < 0 || c.Wait {
			c.Endpoint, c.Wait = i, !e.free(now)
		}
		if !c.Wait {
			r.turn = (r.turn + k + 1) % len(list)
			return c
		}
	}
	return c
}

// String names the policy.
func (roundRobin) String() string { return "roundRobin" }

// leastInFlight takes the endpoint with the fewest calls in flight.
type leastInFlight struct{}

// Pick returns the endpoint with the fewest calls in flight.
func (leastInFlight) Pick(r *Router, q Query, now time.Duration) Choice {
	c := Choice{Endpoint: -1}
	least := 0
	list := r.byTarget[q.Target]
	r.turn++
	for k := range list {
		i := list[(r.turn+k)%len(list)]
		e := &r.eps[i]
		if i == q.Exclude || !e.usable(now) {
			continue
		}
		c.Candidates++
		if n := e.inFlight(now); c.Endpoint < 0 || n < least {
			c.Endpoint, c.Wait, least = i, !e.free(now), n
		}
	}
	return c
}

// String names the policy.
func (leastInFlight) String() string { return "leastInFlight" }

// hashAffinity takes the endpoint with the highest hash of program and endpoint.
type hashAffinity struct{}

// Pick returns the program's endpoint by rendezvous hashing.
func (hashAffinity) Pick(r *Router, q Query, now time.Duration) Choice {
	c := Choice{Endpoint: -1}
	most := uint64(0)
	for _, i := range r.byTarget[q.Target] {
		e := &r.eps[i]
		if i == q.Exclude || !e.usable(now) {
			continue
		}
		c.Candidates++
		if h := mix(q.Program ^ mix(uint64(i)+1)); c.Endpoint < 0 || h > most {
			c.Endpoint, c.Wait, most = i, !e.free(now), h
		}
	}
	return c
}

// String names the policy.
func (hashAffinity) String() string { return "hashAffinity" }

// mix is the 64-bit finalizer of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
