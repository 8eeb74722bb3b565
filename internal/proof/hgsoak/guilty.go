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
	// guiltyStream is the stream of random numbers of the caller of requests that end replicas.
	guiltyStream = 1 << 20
	// guiltyPause is the longest pause between two of them.
	guiltyPause = 400 * time.Millisecond
	// maxCrashes is the number of replicas that such a request may end, and maxRetries that of its runs afterwards.
	maxCrashes = 3
	maxRetries = 3
	// contactTime is the time without faults after which all VMs must know of them.
	contactTime = 4 * time.Second
	// guiltyPrefix begins the names of the programs that send them.
	guiltyPrefix = "guilty-"
)

func isGuilty(r hgsite.Run) bool { return strings.HasPrefix(r.Program, guiltyPrefix) }

// guiltyRequests are the requests that end replicas, with and without a body.
func guiltyRequests() []hgsite.Request {
	return lo.Times(4, func(i int) hgsite.Request {
		q := hgsite.Request{Path: hgsite.ChargePath + "x", Body: fmt.Sprint(guiltyPrefix, i)}
		if i%2 == 1 {
			q = hgsite.Request{Path: hgsite.CheckPath + "x", Method: http.MethodGet}
		}
		q.Program, q.Deadline = fmt.Sprint(guiltyPrefix, i), 2*time.Second
		return q
	})
}

// guilty sends requests that end replicas again and again, through any entry VM.
func (s *soak) guilty(ctx context.Context, r *rand.Rand) {
	requests := guiltyRequests()
	for ctx.Err() == nil {
		q := requests[r.IntN(len(requests))]
		q.ID = hgsite.NewAttempt()
		_, _ = s.call(ctx, r, q, q.Method == http.MethodGet)
		time.Sleep(time.Duration(r.Int64N(int64(guiltyPause))))
	}
}

// checkGuilty sends the requests that end replicas through all entry VMs once more, after a time without faults: each may
// run three times if it has ended few replicas, and as often if it has ended three.
func (s *soak) checkGuilty(ctx context.Context) {
	time.Sleep(contactTime)
	before := s.guiltyRuns()
	for range 2 * (maxCrashes + maxRetries) {
		for i := range s.procs {
			for _, q := range guiltyRequests() {
				reply, err := s.site.Call(ctx, i, q)
				s.check.answered(q, true, reply, err)
			}
		}
	}
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	for program, after := range s.guiltyRuns() {
		s.check.counts["runs of guilty requests"] += after
		if n := after - before[program]; n > max(maxRetries, maxCrashes+maxRetries-before[program]) {
			s.check.violate("request of %s ran %d times after %d runs under faults", program, n, before[program])
		}
	}
}

// guiltyRuns returns how often each of the requests that end replicas ran.
func (s *soak) guiltyRuns() map[string]int {
	return lo.CountValuesBy(lo.Filter(s.site.Runs(hgsite.Tools), func(r hgsite.Run, _ int) bool { return isGuilty(r) }), func(r hgsite.Run) string { return r.Program })
}
