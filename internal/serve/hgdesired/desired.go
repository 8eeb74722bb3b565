package hgdesired

import (
	"strings"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/serve/hgteam"
)

// Kind is the kind of a route. It says how often a request may run.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce requests are not idempotent; they run at most once for each attempt of a caller.
	AtMostOnce Kind = "once"
	// Stream requests are answered by a stream of events; they run at most once unless the route is resumable.
	Stream Kind = "stream"
)

// State is one version of the desired state. It is immutable once decoded, so that requests share it without a lock.
type State struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Teams are the customers whose keys requests must carry; nil if requests carry none.
	Teams *hgteam.Teams
}

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout bounds a request from its arrival to the end of its answer; the deadline of the caller may be shorter.
	Timeout time.Duration
	// TargetLatency is the latency within which an answer counts as on time.
	TargetLatency time.Duration
	// MaxAttempts is the largest number of replicas to which one attempt of a caller may be sent.
	MaxAttempts int
	// Priority orders waiting requests; 0 goes first.
	Priority int
	// Shares divide the requests among services by weight.
	Shares []Share
	// Sticky says that a replica is faster with an object that it has handled before.
	Sticky bool
	// Resumable says that another replica may continue a broken stream.
	Resumable bool
	// Retain says that the turns of programs are stored; RetainFor is how long turns and budgets are kept.
	Retain    bool
	RetainFor time.Duration
	// Public says that requests need no key.
	Public bool
}

// Repeatable reports whether a request that may already have run may be sent again.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Share is the part of a route's requests that a service gets: its weight divided by the sum of all weights of the route.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable replicas.
type Service struct {
	Name string
	// MaxConns is the largest number of connections that one replica accepts.
	MaxConns int
	// Engine is nil for services that run no model.
	Engine *Engine
}

// Engine describes the replicas of a service that runs a model.
type Engine struct {
	// Slots is the number of requests that a replica runs at the same time.
	Slots int
	// CacheTokens is the memory of a replica for running requests and cached prefixes, in tokens.
	CacheTokens int
	// TokensPerEvent is the number of tokens that each event of a stream counts as.
	TokensPerEvent int
	// FetchPerToken is the time to fetch one cached token from another replica; 0 if replicas cannot fetch.
	FetchPerToken time.Duration
}

// Limits bound the requests of callers.
type Limits struct {
	// MaxBodyBytes is the largest body of a request; if it is 0, the entry VMs apply their own default.
	MaxBodyBytes int64
	// IdleTimeout is the platform's idle_timeout_ms. It is decoded but not applied.
	IdleTimeout time.Duration
}

// Route returns the route of a host whose path prefix is the longest one that the path begins with.
func (s *State) Route(host, path string) (r Route, ok bool) {
	for _, c := range s.Routes {
		if c.Host == host && strings.HasPrefix(path, c.PathPrefix) && (!ok || len(c.PathPrefix) > len(r.PathPrefix)) {
			r, ok = c, true
		}
	}
	return r, ok
}

// Pick returns the service into whose share a number in [0, 1) falls. If all weights are 0 it returns the first service, and
// without shares "".
func (r Route) Pick(fraction float64) string {
	remaining := fraction * float64(lo.SumBy(r.Shares, func(s Share) int { return s.Weight }))
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[0].Service
}
