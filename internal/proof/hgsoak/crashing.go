package hgsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
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

// checkCrashing sends the crashing requests through all entry VMs again after propagationTime. Each may get maxRetries runs later
// than contactTime after its third one.
func (s *soak) checkCrashing(ctx context.Context) {
	time.Sleep(time.Until(s.calmSince.Add(propagationTime)))
	began := time.Now()
	s.resendCrashing(ctx)
	if lo.SomeBy(lo.Values(s.crashingRuns()), func(runs []time.Time) bool { return began.Sub(thirdRun(runs)) < contactTime }) {
		time.Sleep(contactTime)
		s.resendCrashing(ctx)
	}
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	for program, runs := range s.crashingRuns() {
		s.check.counts["runs of guilty requests"] += len(runs)
		retries := lo.CountBy(runs, func(at time.Time) bool { return at.After(began) && at.Sub(thirdRun(runs)) > contactTime })
		if retries > maxRetries {
			s.check.violate("request of %s ran %d times in the calm, more than %v after its third of %d runs", program, retries, contactTime, len(runs))
		}
	}
}

// resendCrashing sends each crashing request several times through each entry VM.
func (s *soak) resendCrashing(ctx context.Context) {
	for range 2 * (maxCrashes + maxRetries) {
		for _, i := range s.runningVMs() {
			for _, q := range crashingRequests() {
				reply, err := s.site.Call(ctx, s.node(i), q)
				s.check.recordAnswer(q, true, reply, err)
			}
		}
	}
}

// thirdRun returns the time of the third run, or the present if there are fewer.
func thirdRun(runs []time.Time) time.Time {
	if len(runs) < maxCrashes {
		return time.Now()
	}
	return runs[maxCrashes-1]
}

// crashingRuns returns the times of the runs of crashing requests by program, oldest first.
func (s *soak) crashingRuns() map[string][]time.Time {
	times := map[string][]time.Time{}
	for _, r := range s.site.Runs(hgsite.Tools) {
		if isCrashing(r) {
			times[r.Program] = append(times[r.Program], r.At)
		}
	}
	for _, t := range times {
		slices.SortFunc(t, time.Time.Compare)
	}
	return times
}
