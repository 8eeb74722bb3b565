package hgsuspect

import (
	"maps"
	"time"

	"github.com/samber/lo"
)

const (
	// unansweredMaxAge is how long after a run without a response the end of its replica counts as a crash: the registration of
	// a replica expires only some seconds after the replica has stopped responding.
	unansweredMaxAge = 10 * time.Second
	// maxUnanswered bounds the runs that are kept per replica; the oldest are dropped first.
	maxUnanswered = 64
)

// RecordUnanswered records a run without a response. It counts as a crash if the replica turns out to have ended.
func (l *List) RecordUnanswered(r Request, replica string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Run.Ended = l.timer.Now()
	runs := append(l.unanswered[replica], r)
	l.unanswered[replica] = lo.Subset(runs, -maxUnanswered, maxUnanswered)
}

// TakeUnanswered removes and returns the requests that had no response from a replica, which has ended, in the last
// unansweredMaxAge.
func (l *List) TakeUnanswered(replica string) (requests []Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for _, r := range l.unanswered[replica] {
		if now-r.Run.Ended < unansweredMaxAge {
			requests = append(requests, r)
		}
	}
	delete(l.unanswered, replica)
	return requests
}

// ForgetUnanswered drops the runs of replicas whose last run without a response is older than unansweredMaxAge, and the ends of
// replicas that no longer count.
func (l *List) ForgetUnanswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	l.ends.evict(now)
	maps.DeleteFunc(l.unanswered, func(_ string, runs []Request) bool { return now-runs[len(runs)-1].Run.Ended >= unansweredMaxAge })
}
