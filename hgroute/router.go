package hgroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopgrade/hgpreset"
)

// Policy chooses among the endpoints that serve a target.
type Policy interface {
	// Pick returns the choice for a query.
	Pick(r *Router, q Query, now time.Duration) Choice
	// String names the policy.
	String() string
}

// Endpoint is an endpoint as the settings name it.
type Endpoint struct {
	ID     string
	Domain string
	// Targets are the models or services that it serves.
	Targets []string
	// MemoryTokens is its memory for prefixes; 0 means not known.
	MemoryTokens int
}

// Query is what a choice depends on.
type Query struct {
	Target string
	// Program is a hash of the root program.
	Program uint64
	// Home is the index of the endpoint that holds the program's prefix, or -1.
	Home int
	// HomeTokens is the length of that prefix.
	HomeTokens int
	// Tokens is the length of the whole prompt.
	Tokens int
	// Output is the expected number of output tokens.
	Output int
	// Exclude is the index of an endpoint not to be chosen, or -1.
	Exclude int
	// Alone demands an endpoint that runs nothing else.
	Alone bool
	// New demands an endpoint with memory for a new program.
	New bool
}

// Choice is the endpoint chosen and the terms of its score, in milliseconds.
type Choice struct {
	// Endpoint is an index, or -1 when no endpoint can serve the target.
	Endpoint int
	// Wait says that the endpoint is the best but has no place free.
	Wait bool
	// Candidates is the number of endpoints weighed.
	Candidates int
	WaitMs     float64
	PrefillMs  float64
	DecodeMs   float64
	DomainMs   float64
}

// Score returns the sum of the terms, in milliseconds.
func (c Choice) Score() float64 { return c.WaitMs + c.PrefillMs + c.DecodeMs + c.DomainMs }

// Router knows the endpoints of one group of targets; it is a state machine without locks.
type Router struct {
	domain   string
	preset   hgpreset.Preset
	policy   Policy
	eps      []endpoint
	byTarget map[string][]int
	turn     int
	// prefillMs is the time to compute a prompt token, in milliseconds, over all endpoints: they are alike,
	// and what differs between single observations would draw all new programs to one endpoint.
	prefillMs float64
}

// NewRouter returns a router for a node in a failure domain. When more than subset endpoints serve a target,
// the node uses those that rendezvous hashing on its name gives it.
func NewRouter(node, domain string, eps []Endpoint, subset int, p hgpreset.Preset) *Router {
	r := &Router{domain: domain, byTarget: map[string][]int{}, prefillMs: firstPrefillMs}
	for _, e := range eps {
		r.eps = append(r.eps, newEndpoint(e, e.Domain != domain, p))
		for _, t := range e.Targets {
			r.byTarget[t] = append(r.byTarget[t], len(r.eps)-1)
		}
	}
	for t, all := range r.byTarget {
		r.byTarget[t] = choose(node, eps, all, subset)
	}
	r.SetPreset(p)
	return r
}

// choose returns the n endpoints with the highest hash of node and endpoint.
func choose(node string, eps []Endpoint, all []int, n int) []int {
	if len(all) <= n {
		return all
	}
	weight := func(i int) uint64 { return xxhash.Sum64String(node + "\x00" + eps[i].ID) }
	chosen := append([]int(nil), all...)
	sortBy(chosen, func(a, b int) bool { return weight(a) > weight(b) })
	chosen = chosen[:n]
	sortBy(chosen, func(a, b int) bool { return a < b })
	return chosen
}

// SetPreset changes the weights and the policy.
func (r *Router) SetPreset(p hgpreset.Preset) {
	r.preset = p
	r.policy = NewPolicy(p.RoutePolicy)
	for i := range r.eps {
		r.eps[i].setPreset(p)
	}
}

// Len returns the number of endpoints.
func (r *Router) Len() int { return len(r.eps) }

// Endpoint returns the settings of endpoint i.
func (r *Router) Endpoint(i int) Endpoint { return r.eps[i].Endpoint }

// Serves tells whether any endpoint serves the target.
func (r *Router) Serves(target string) bool { return len(r.byTarget[target]) > 0 }

// Index returns the index of an endpoint, or -1.
func (r *Router) Index(id string) int {
	for i := range r.eps {
		if r.eps[i].ID == id {
			return i
		}
	}
	return -1
}

// Pick chooses an endpoint; it allocates nothing.
func (r *Router) Pick(q Query, now time.Duration) Choice {
	if q.Alone {
		return r.pickAlone(q, now)
	}
	return r.policy.Pick(r, q, now)
}

// pickAlone chooses the endpoint with the fewest calls in flight and keeps others away from it until it is empty.
func (r *Router) pickAlone(q Query, now time.Duration) Choice {
	c := Choice{Endpoint: -1}
	for _, i := range r.byTarget[q.Target] {
		e := &r.eps[i]
		if i == q.Exclude || !e.usable(now) || e.exclusive && e.own > 0 {
			continue
		}
		c.Candidates++
		if c.Endpoint < 0 || e.inFlight(now) < r.eps[c.Endpoint].inFlight(now) {
			c.Endpoint = i
		}
	}
	if c.Endpoint < 0 {
		return c
	}
	e := &r.eps[c.Endpoint]
	c.Wait = e.inFlight(now) > 0
	if c.Wait {
		e.reservedUntil = now + reserveFor
	}
	return c
}

// Started counts a call on endpoint i.
func (r *Router) Started(i int, q Query) {
	e := &r.eps[i]
	e.own++
	e.exclusive = q.Alone
	if i != q.Home {
		e.arriving += q.Tokens
	}
}

// HasRoom tells whether an endpoint of the target has memory for a new program.
func (r *Router) HasRoom(target string, now time.Duration) bool {
	for _, i := range r.byTarget[target] {
		if r.eps[i].hasRoom(now) {
			return true
		}
	}
	return false
}

// SetHeld tells how many tokens this node's live programs hold on endpoint i.
func (r *Router) SetHeld(i, tokens int) {
	r.eps[i].held = tokens
	r.eps[i].arriving = 0
}

// Finished counts the end of a call on endpoint i and learns from its timing.
func (r *Router) Finished(i int, t Timing, now time.Duration) {
	e := &r.eps[i]
	e.own--
	if e.own == 0 {
		e.exclusive = false
		e.reservedUntil = 0
	}
	if t.Computed >= minPrefillTokens {
		r.prefillMs += smoothing * (ms(t.FirstToken)/float64(t.Computed) - r.prefillMs)
	}
	e.learn(t, now)
}

// Failed tells that endpoint i failed a call; refused says that it took no connection.
func (r *Router) Failed(i int, refused bool, now time.Duration) { r.eps[i].fail(refused, now) }

// PeerLoad tells how many calls a peer has in flight on endpoint i, and the tokens that its live programs hold there.
func (r *Router) PeerLoad(i int, peer string, calls, tokens int, now time.Duration) {
	r.eps[i].setPeer(peer, peerLoad{calls: calls, tokens: tokens, at: now})
}

// SetLeaving tells whether endpoint i takes no new work.
func (r *Router) SetLeaving(i int, leaving bool) { r.eps[i].leaving = leaving }

// Load describes one endpoint.
type Load struct {
	ID       string  `json:"id"`
	Domain   string  `json:"domain"`
	InFlight int     `json:"inFlight"`
	Peers    int     `json:"peersInFlight"`
	Window   float64 `json:"window"`
	TokenMs  float64 `json:"tokenMs"`
	Leaving  bool    `json:"leaving"`
	Ejected  bool    `json:"ejected"`
}

// Loads describes all endpoints.
func (r *Router) Loads(now time.Duration) []Load {
	loads := make([]Load, len(r.eps))
	for i := range r.eps {
		e := &r.eps[i]
		loads[i] = Load{
			ID: e.ID, Domain: e.Domain, InFlight: e.own, Peers: e.others(now), Window: e.window,
			TokenMs: e.tokenMs, Leaving: e.leaving, Ejected: now < e.ejectedUntil,
		}
	}
	return loads
}

// InFlight returns the node's own calls on endpoint i.
func (r *Router) InFlight(i int) int { return r.eps[i].own }
