package hgdesired

import (
	"strings"
	"time"

	"github.com/samber/lo"
)

// Kind says how often a request may run.
type Kind string

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once requests run at most once for each attempt of a caller.
	Once Kind = "once"
	// Stream requests are answered by events; they run at most once unless they can be resumed.
	Stream Kind = "stream"
)

// State is one version of the desired state; it is never changed.
type State struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Route says who serves the requests of a host below a path.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Target is the latency within which an answer is on time.
	Target time.Duration
	// MaxAttempts is the most replicas that one attempt of a caller may be sent to.
	MaxAttempts int
	// Priority is the rank among requests; 0 goes first.
	Priority int
	Shares   []Share
	// Sticky says that a replica which has handled the same object is faster.
	Sticky bool
	// Resumable says that a broken stream may go on at another replica.
	Resumable bool
	// Retain says that the system keeps what was said; RetainFor is how long turns and budgets are kept.
	Retain    bool
	RetainFor time.Duration
}

// Repeatable says whether a request may run again after it may have run.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Share is a service's share of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of equal replicas.
type Service struct {
	Name string
	// MaxConns is the most connections that one replica accepts.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the replicas of a model service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// CacheTokens is the memory for running requests and kept prefixes, in tokens.
	CacheTokens int
	// TokensPerEvent is the number of tokens that each event of a stream counts.
	TokensPerEvent int
	// FetchPerToken is the time to fetch a kept token from another replica; 0 if that cannot be done.
	FetchPerToken time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	MaxBodyBytes int64
	Idle         time.Duration
}

// Route returns the route with the longest path prefix for a host and a path.
func (s *State) Route(host, path string) (r Route, ok bool) {
	for _, c := range s.Routes {
		if c.Host == host && strings.HasPrefix(path, c.PathPrefix) && (!ok || len(c.PathPrefix) > len(r.PathPrefix)) {
			r, ok = c, true
		}
	}
	return r, ok
}

// Pick returns the service of a route for a number in [0, 1).
func (r Route) Pick(at float64) string {
	left := at * float64(lo.SumBy(r.Shares, func(s Share) int { return s.Weight }))
	for _, s := range r.Shares {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[0].Service
}
