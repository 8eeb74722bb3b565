package hgroute

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopgrade/hgpreset"
)

// Policy chooses among the endpoints that serve a target.
type Policy interface {
	// Pick returns the endpoint chosen for a query. Router.Pick calls it for all queries but those with Alone.
	Pick(r *Router, q Query, now time.Duration) Choice
	// String returns the policy's name in presets.
	String() string
}

// Endpoint is the configuration of an endpoint.
type Endpoint struct {
	ID     string
	Domain string
	// Targets lists the models or services that the endpoint serves.
	Targets []string
	// MemoryTokens is the capacity of the endpoint's prefix cache, in tokens; 0 means unknown.
	MemoryTokens int
}

// Query describes a call to be placed.
type Query struct {
	Target string
	// Program is a hash of the root program.
	Program uint64
	// Home is the index of the endpoint that holds the program's prefix, or -1.
	Home int
	// HomeTokens is the length of the prefix at Home, in tokens.
	HomeTokens int
	// Tokens is the length of the whole prompt, in tokens.
	Tokens int
	// Output is the expected number of output tokens.
	Output int
	// Exclude is the index of an endpoint that must not be chosen, or -1.
	Exclude int
	// Alone requires an endpoint that runs no other call.
	Alone bool
	// New marks the first call of a program; the score policy then requires an endpoint with memory for a new program.
	New bool
}

// Choice is the result of a query: the chosen endpoint and the terms of its score, in milliseconds. Only the score policy
// sets the terms.
type Choice struct {
	// Endpoint is the index of the endpoint, or -1 if no endpoint can serve the target.
	Endpoint int
	// Wait means that the endpoint cannot start the call yet.
	Wait bool
	// Candidates is the number of endpoints considered.
	Candidates int
	// WaitMs is the expected wait until the endpoint can start the call.
	WaitMs float64
	// PrefillMs is the time to compute the uncached part of the prompt, times the preset's recompute weight.
	PrefillMs float64
	// DecodeMs is the time by which the calls in flight are expected to lengthen the generation of the output.
	DecodeMs float64
	// DomainMs is the preset's penalty for an endpoint in another failure domain.
	DomainMs float64
}

// Score returns the sum of the terms, in milliseconds.
func (c Choice) Score() float64 { return c.WaitMs + c.PrefillMs + c.DecodeMs + c.DomainMs }

// Router holds the state of the endpoints of one group of targets. It has no locks; the caller serializes access.
type Router struct {
	domain   string
	preset   hgpreset.Preset
	policy   Policy
	eps      []endpoint
	byTarget map[string][]int
	// offset is the position in a target's list at which the policies start their next scan.
	offset int
	// prefillMs is the average time to compute a prompt token, in milliseconds. It is shared by all endpoints: they are
	// alike, and with an average per endpoint the noise of single observations would draw all new programs to one endpoint.
	prefillMs float64
}

// NewRouter returns a router for a node in a failure domain. If more than subset endpoints serve a target, the node uses
// a subset of that size, selected by rendezvous hashing on the node's name.
func NewRouter(node, domain string, eps []Endpoint, subset int, p hgpreset.Preset) *Router {
	r := &Router{domain: domain, byTarget: map[string][]int{}, prefillMs: initialPrefillMs}
	for _, e := range eps {
		r.eps = append(r.eps, newEndpoint(e, e.Domain != domain, p))
		for _, t := range e.Targets {
			r.byTarget[t] = append(r.byTarget[t], len(r.eps)-1)
		}
	}
	for t, all := range r.byTarget {
		r.byTarget[t] = selectSubset(node, eps, all, subset)
	}
	r.SetPreset(p)
	return r
}

// selectSubset returns the indexes of the n endpoints with the highest hash of node and endpoint, in ascending order.
func selectSubset(node string, eps []Endpoint, all []int, n int) []int {
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

// SetPreset sets the policy, its weights and the limits of the windows.
func (r *Router) SetPreset(p hgpreset.Preset) {
	r.preset = p
	r.policy = NewPolicy(p.RoutePolicy)
	for i := range r.eps {
		r.eps[i].setPreset(p)
	}
}

// Len returns the number of endpoints.
func (r *Router) Len() int { return len(r.eps) }

// Endpoint returns the configuration of endpoint i.
func (r *Router) Endpoint(i int) Endpoint { return r.eps[i].Endpoint }

// Serves reports whether any endpoint is configured for the target.
func (r *Router) Serves(target string) bool { return len(r.byTarget[target]) > 0 }

// Index returns the index of the endpoint with the given ID, or -1.
func (r *Router) Index(id string) int {
	for i := range r.eps {
		if r.eps[i].ID == id {
			return i
		}
	}
	return -1
}

// Pick chooses an endpoint for a query without allocating memory.
func (r *Router) Pick(q Query, now time.Duration) Choice {
	if q.Alone {
		return r.pickAlone(q, now)
	}
	return r.policy.Pick(r, q, now)
}

// pickAlone chooses the endpoint with the fewest calls in flight. If calls are in flight there, it reserves the endpoint
// for reserveFor, so that it takes no other calls while it drains.
func (r *Router) pickAlone(q Query, now time.Duration) Choice {
	c := Choice{Endpoint: -1}
	for _, i := range r.byTarget[q.Target] {
		e := &r.eps[i]
		if i == q.Exclude || !e.usable(now) || e.exclusive && e.ownCalls > 0 {
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

// Started records the start of a call on endpoint i.
func (r *Router) Started(i int, q Query) {
	e := &r.eps[i]
	e.ownCalls++
	e.exclusive = q.Alone
	if i != q.Home {
		e.arrivingTokens += q.Tokens
	}
}

// HasRoom reports whether any endpoint of the target has memory for a new program.
func (r *Router) HasRoom(target string, now time.Duration) bool {
	for _, i := range r.byTarget[target] {
		if r.eps[i].hasRoom(now) {
			return true
		}
	}
	return false
}

// SetHeld sets the number of tokens that this node's live programs hold in the memory of endpoint i.
func (r *Router) SetHeld(i, tokens int) {
	r.eps[i].heldTokens = tokens
	r.eps[i].arrivingTokens = 0
}

// Finished records the end of a call on endpoint i and updates the statistics from its timing. It follows each Started,
// also after Failed.
func (r *Router) Finished(i int, t Timing, now time.Duration) {
	e := &r.eps[i]
	e.ownCalls--
	if e.ownCalls == 0 {
		e.exclusive = false
		e.reservedUntil = 0
	}
	if t.Computed >= minPrefillTokens {
		r.prefillMs += smoothing * (ms(t.FirstToken)/float64(t.Computed) - r.prefillMs)
	}
	e.observe(t, now)
}

// Failed records a failed call on endpoint i; refused means that the endpoint was unreachable or draining.
func (r *Router) Failed(i int, refused bool, now time.Duration) { r.eps[i].recordFailure(refused, now) }

// SetPeerLoad records a peer's load report for endpoint i: the peer's calls in flight and the tokens that its live programs
// hold there.
func (r *Router) SetPeerLoad(i int, peer string, calls, tokens int, now time.Duration) {
	r.eps[i].setPeerLoad(peer, peerLoad{calls: calls, tokens: tokens, at: now})
}

// SetLeaving sets whether endpoint i is leaving; a leaving endpoint is not chosen.
func (r *Router) SetLeaving(i int, leaving bool) { r.eps[i].leaving = leaving }

// Load is the state of one endpoint in a node's status.
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

// Loads returns the state of all endpoints.
func (r *Router) Loads(now time.Duration) []Load {
	loads := make([]Load, len(r.eps))
	for i := range r.eps {
		e := &r.eps[i]
		loads[i] = Load{
			ID: e.ID, Domain: e.Domain, InFlight: e.ownCalls, Peers: e.peerInFlight(now), Window: e.window,
			TokenMs: e.tokenMs, Leaving: e.leaving, Ejected: now < e.ejectedUntil,
		}
	}
	return loads
}

// InFlight returns the number of this node's calls in flight on endpoint i.
func (r *Router) InFlight(i int) int { return r.eps[i].ownCalls }
