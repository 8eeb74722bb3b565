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

// Request is a call that asks for an endpoint.
type Request struct {
	Program string
	Request string
	Target  string
	// New says that it is the first call of a root program.
	New bool
	// Served is the tokens that the root program has been served.
	Served uint64
	// Home names the endpoint that holds the program's prefix, of HomeTokens tokens.
	Home       string
	HomeTokens int
	// Tokens is the length of the whole prompt; Output is the expected number of output tokens.
	Tokens int
	Output int
	// Exclude names an endpoint not to be chosen.
	Exclude string
	// Alone demands an endpoint that runs nothing else.
	Alone bool
	// Left is the time left for the call.
	Left time.Duration
}

// Grant is a place on an endpoint.
type Grant struct {
	Endpoint string
	Waited   time.Duration
	pool     *pool
	index    int
}

// Scheduler gives places on endpoints. Targets that share endpoints share a pool; each pool has its own lock.
type Scheduler struct {
	pools    []*pool
	byTarget map[string]*pool
	log      *slog.Logger
}

// NewScheduler returns the scheduler of a node in a failure domain.
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

// groups splits the endpoints into groups that share no target.
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

// Serves tells whether any endpoint serves the target.
func (s *Scheduler) Serves(target string) bool { return s.byTarget[target] != nil }

// Acquire waits for a place; the error is a *hgcall.Refusal of kind notRun, or ctx's.
// Each place must be given back by Done.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (g Grant, err error) {
	p := s.byTarget[r.Target]
	if p == nil {
		return g, hgcall.Invalid("target", "no endpoint serves %q", r.Target)
	}
	g, c, err := p.acquire(ctx, r)
	if err != nil {
		s.log.Info("refused", "program", r.Program, "request", r.Request, "target", r.Target, "err", err)
		return g, err
	}
	s.log.Info("placed", "program", r.Program, "request", r.Request, "target", r.Target, "endpoint", g.Endpoint,
		"candidates", c.Candidates, "waited", g.Waited, "home", r.Home, "alone", r.Alone,
		"waitMs", c.WaitMs, "prefillMs", c.PrefillMs, "decodeMs", c.DecodeMs, "domainMs", c.DomainMs)
	return g, nil
}

// Result is how a call on an endpoint ended.
type Result struct {
	Timing hgroute.Timing
	// Failed says that the endpoint failed the call; Refused that it took no connection.
	Failed  bool
	Refused bool
}

// Done gives a place back.
func (s *Scheduler) Done(g Grant, r Result) { g.pool.done(g, r) }

// SetPreset changes the weights and limits.
func (s *Scheduler) SetPreset(p hgpreset.Preset) {
	for _, pl := range s.pools {
		pl.setPreset(p)
	}
}

// SetLeaving tells whether an endpoint takes no new work.
func (s *Scheduler) SetLeaving(endpoint string, leaving bool) {
	for _, pl := range s.pools {
		pl.setLeaving(endpoint, leaving)
	}
}

// PeerLoads tells a peer's calls in flight and the tokens that its live programs hold, by endpoint.
func (s *Scheduler) PeerLoads(peer string, calls, tokens map[string]int) {
	for _, pl := range s.pools {
		pl.peerLoads(peer, calls, tokens)
	}
}

// SetHeld tells the tokens that this node's live programs hold, by endpoint.
func (s *Scheduler) SetHeld(tokens map[string]int) {
	for _, pl := range s.pools {
		pl.setHeld(tokens)
	}
}

// InFlight returns this node's calls in flight, by endpoint, without idle ones.
func (s *Scheduler) InFlight() map[string]int {
	calls := map[string]int{}
	for _, l := range s.Loads() {
		if l.InFlight > 0 {
			calls[l.ID] = l.InFlight
		}
	}
	return calls
}

// Loads describes all endpoints.
func (s *Scheduler) Loads() []hgroute.Load {
	return lo.FlatMap(s.pools, func(p *pool, _ int) []hgroute.Load { return p.loads() })
}

// Waiting returns the number of calls that wait.
func (s *Scheduler) Waiting() int {
	return lo.SumBy(s.pools, func(p *pool) int { return p.waiting() })
}

// String names the scheduler.
func (s *Scheduler) String() string { return "scheduler" }
