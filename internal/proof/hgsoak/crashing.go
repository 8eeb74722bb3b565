package hgsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/proof/hgsite"
)

const (
	// crashingRandStream is the random number stream of the caller that sends crashing requests, apart from the callers' streams.
	crashingRandStream = 1 << 20
	// maxCrashingPause is the longest pause between two crashing requests.
	maxCrashingPause = 400 * time.Millisecond
	// maxCrashes is the number of replicas that a request may crash before it is refused, and maxRetries the number of
	// further runs that it may get as its refusals expire.
	maxCrashes = 3
	maxRetries = 3
	// propagationTime is the time without faults after which all VMs must know of the crashing requests.
	propagationTime = 4 * time.Second
	// crashingPrefix is the prefix of the names of the programs that send crashing requests.
	crashingPrefix = "guilty-"
)

// isCrashing reports whether a run crashes its replica.
func isCrashing(r hgsite.Run) bool { return strings.HasPrefix(r.Program, crashingPrefix) }

// crashingRequests returns the requests that crash replicas, with and without a body.
func crashingRequests() []hgsite.Request {
	return lo.Times(4, func(i int) hgsite.Request {
		q := hgsite.Request{Path: hgsite.ChargePath + "x", Body: fmt.Sprint(crashingPrefix, i)}
		if i%2 == 1 {
			q = hgsite.Request{Path: hgsite.CheckPath + "x", Method: http.MethodGet}
		}
		q.Program, q.Deadline = fmt.Sprint(crashingPrefix, i), 2*time.Second
		return q
	})
}

// sendCrashing sends crashing requests through random entry VMs until the context ends.
func (s *soak) sendCrashing(ctx context.Context, r *rand.Rand) {
	requests := crashingRequests()
	for ctx.Err() == nil {
		q := requests[r.IntN(len(requests))]
		q.ID = hgsite.NewAttempt()
		_, _ = s.call(ctx, r, q, q.Method == http.MethodGet)
		time.Sleep(time.Duration(r.Int64N(int64(maxCrashingPause))))
	}
}

// checkCrashing sends the crashing requests through all entry VMs again after propagationTime. Each may run until it has
// maxCrashes+maxRetries runs in total, or maxRetries more times if that is more.
func (s *soak) checkCrashing(ctx context.Context) {
	time.Sleep(time.Until(s.calmSince.Add(propagationTime)))
	before := s.crashingRuns()
	for range 2 * (maxCrashes + maxRetries) {
		for _, i := range s.runningVMs() {
			for _, q := range crashingRequests() {
				reply, err := s.site.Call(ctx, s.node(i), q)
				s.check.recordAnswer(q, true, reply, err)
			}
		}
	}
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	for program, after := range s.crashingRuns() {
		s.check.counts["runs of guilty requests"] += after
		if n := after - before[program]; n > max(maxRetries, maxCrashes+maxRetries-before[program]) {
			s.check.violate("request of %s ran %d times after %d runs under faults", program, n, before[program])
		}
	}
}

// crashingRuns returns the number of runs of crashing requests by program.
func (s *soak) crashingRuns() map[string]int {
	return lo.CountValuesBy(lo.Filter(s.site.Runs(hgsite.Tools), func(r hgsite.Run, _ int) bool { return isCrashing(r) }), func(r hgsite.Run) string { return r.Program })
}
