package hgentryvm

import (
	"sync"
	"time"

	"hyssopgrade/internal/serve/hgdesired"
)

const (
	// minRetention is the least time for which programs without requests are kept, and retentionFactor that time as a
	// multiple of the longest time for which a desired state retains turns.
	minRetention    = 2 * time.Minute
	retentionFactor = 2
)

// retention is how long programs without requests are kept. Turns that were answered under an older desired state are still
// retained as that one says, so it grows only.
type retention struct {
	mu sync.Mutex
	// longest is the longest time for which a route has retained turns.
	longest time.Duration
}

// apply takes account of a new desired state.
func (r *retention) apply(s *hgdesired.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, route := range s.Routes {
		r.longest = max(r.longest, route.RetainFor)
	}
}

// duration returns how long programs without requests are kept.
func (r *retention) duration() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(minRetention, retentionFactor*r.longest)
}
