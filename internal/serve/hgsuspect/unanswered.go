package hgsuspect

import (
	"maps"
	"time"

	"github.com/samber/lo"
)

const (
	// unansweredFor is how long after a run without an answer the end of its replica counts as a break: a registration
	// lapses some seconds after the replica has fallen silent.
	unansweredFor = 10 * time.Second
	// maxUnanswered bounds the runs that are kept of a replica; the oldest go first.
	maxUnanswered = 64
)

// unanswered is a run whose time was over, or whose caller left, before its replica said anything.
type unanswered struct {
	request Request
	at      time.Duration
}

// Unanswered tells of a run without an answer, which counts as a break if the replica turns out to have ended.
func (l *List) Unanswered(r Request, replica string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := append(l.unanswered[replica], unanswered{r, l.timer.Now()})
	l.unanswered[replica] = lo.Subset(runs, -maxUnanswered, maxUnanswered)
}

// TakeUnanswered returns the requests whose last runs at a replica that has ended had no answer.
func (l *List) TakeUnanswered(replica string) (requests []Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for _, u := range l.unanswered[replica] {
		if now-u.at < unansweredFor {
			requests = append(requests, u.request)
		}
	}
	delete(l.unanswered, replica)
	return requests
}

// ForgetUnanswered drops runs that count no longer.
func (l *List) ForgetUnanswered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	maps.DeleteFunc(l.unanswered, func(_ string, runs []unanswered) bool { return now-runs[len(runs)-1].at >= unansweredFor })
}
