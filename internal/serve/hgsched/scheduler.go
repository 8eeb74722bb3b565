package hgsched

import (
	"context"
	"log/slog"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgpreset"
	"hyssopgrade/hgroute"
)

// Request describes a call that needs a slot on an endpoint.
type Request struct {
	Program string
	Request string
	Target  string
	// New says that the call is the first one of a root program.
	New bool
	// Served is the number of tokens that the root program has used so far.
	Served uint64
	// Home is the endpoint that holds the program's prefix, or empty; HomeTokens is the prefix's length.
	Home       string
	HomeTokens int
	// Tokens is the length of the whole prompt in tokens; Output is the expected number of output tokens.
	Tokens int
	Output int
	// Exclude is an endpoint that must not be chosen, or empty.
	Exclude string
	// Alone requires an endpoint that runs no other call of this node.
	Alone bool
	// Remaining is the time left until the call's deadline.
	Remaining time.Duration
}

// Grant is a slot on an endpoint, held by one call until Done.
type Grant struct {
	Endpoint string
	// Waited is how long the call was queued.
	Waited time.Duration
	pool   *pool
	index  int
}

// Scheduler grants slots on endpoints to waiting calls. Targets that share endpoints share a pool; each pool has its own lock.
// A Scheduler is safe for concurrent use.
type Scheduler struct {
	pools    []*pool
	byTarget map[string]*pool
	log      *slog.Logger
}

// NewScheduler returns the scheduler of a node in a failure domain; each endpoint must have a target.
func NewScheduler(node, domain string, eps []hgroute.Endpoint, p hgpreset.Preset, opts ...Option) *Scheduler {
	o := newOptions(opts)
	s := &Scheduler{byTarget: map[string]*pool{}, log: o.log}
	for _, group := range groups(eps) {
		pl := newPool(hgroute.NewRouter(node, domain, group, o.subset, p), p, o)
		s.pools = append(s.pools, pl)
		for _, e := range group {
			for _, t := range e.Targets {
				s.byTarget[t] = pl
			}
		}
	}
	return s
}

// groups splits the endpoints into groups such that no target is served by endpoints of two groups.
func groups(eps []hgroute.Endpoint) [][]hgroute.Endpoint {
	group := map[string]int{}
	for i, e := range eps {
		for _, t := range e.Targets {
			old, ok := group[t]
			if !ok {
				group[t] = i
				continue
			}
			group = lo.MapValues(group, func(g int, _ string) int { return lo.Ternary(g == old, i, g) })
		}
	}
	byGroup := lo.GroupBy(eps, func(e hgroute.Endpoint) int { return group[e.Targets[0]] })
	return lo.Values(byGroup)
}

// Serves reports whether any endpoint serves the target.
func (s *Scheduler) Serves(target string) bool { return s.byTarget[target] != nil }

// Acquire waits for a slot, which must be returned with Done. The error is ctx's or a *hgcall.Refusal: of kind notRun, or of kind
// invalid if no endpoint serves the target.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (g Grant, err error) {
	p := s.byTarget[r.Target]
	if p == nil {
		return g, hgcall.Invalid("target", "no endpoint serves %q", r.Target)
	}
	g, c, err := p.acquire(ctx, r)
	if err != nil {
		s.log.Info("request refused", "program", r.Program, "request", r.Request, "target", r.Target, "err", err)
		return g, err
	}
	s.log.Info("request placed", "program", r.Program, "request", r.Request, "target", r.Target, "endpoint", g.Endpoint,
		"candidates", c.Candidates, "waited", g.Waited, "home", r.Home, "alone", r.Alone,
		"waitMs", c.WaitMs, "prefillMs", c.PrefillMs, "decodeMs", c.DecodeMs, "domainMs", c.DomainMs)
	return g, nil
}

// Result is how a call on an endpoint ended.
type Result struct {
	Timing hgroute.Timing
	// Failed says that the endpoint failed the call; Refused says that it accepted no connection or is draining.
	Failed  bool
	Refused bool
}

// Done returns a slot and reports how the call on it ended; waiting calls may start then.
func (s *Scheduler) Done(g Grant, r Result) { g.pool.done(g, r) }

// SetPreset changes the limits of admission and the weights of routing; waiting calls stay queued.
func (s *Scheduler) SetPreset(p hgpreset.Preset) {
	for _, pl := range s.pools {
		pl.setPreset(p)
	}
}

// SetLeaving sets whether an endpoint is leaving and so gets no new calls.
func (s *Scheduler) SetLeaving(endpoint string, leaving bool) {
	for _, pl := range s.pools {
		pl.setLeaving(endpoint, leaving)
	}
}

// SetPeerLoads sets a peer's calls in flight and the tokens that the peer's live programs hold, by endpoint.
func (s *Scheduler) SetPeerLoads(peer string, calls, tokens map[string]int) {
	for _, pl := range s.pools {
		pl.peerLoads(peer, calls, tokens)
	}
}

// SetHeld sets the tokens that this node's live programs hold, by endpoint.
func (s *Scheduler) SetHeld(tokens map[string]int) {
	for _, pl := range s.pools {
		pl.setHeld(tokens)
	}
}

// InFlight returns this node's calls in flight by endpoint; endpoints without calls are left out.
func (s *Scheduler) InFlight() map[string]int {
	calls := map[string]int{}
	for _, l := range s.Loads() {
		if l.InFlight > 0 {
			calls[l.ID] = l.InFlight
		}
	}
	return calls
}

// Loads returns the load of each endpoint that the node uses.
func (s *Scheduler) Loads() []hgroute.Load {
	return lo.FlatMap(s.pools, func(p *pool, _ int) []hgroute.Load { return p.loads() })
}

// Waiting returns the number of calls that wait for a slot.
func (s *Scheduler) Waiting() int {
	return lo.SumBy(s.pools, func(p *pool) int { return p.waiting() })
}

// String returns a fixed name for log lines.
func (s *Scheduler) String() string { return "scheduler" }
