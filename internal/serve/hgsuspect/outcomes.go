package hgsuspect

import "time"

const (
	// outcomeMaxAge is how long the outcome of a run counts when a service is checked for failing.
	outcomeMaxAge = time.Second
	// maxOutcomes bounds the outcomes that are kept per service.
	maxOutcomes = 32
	// minCrashing is the number of different other requests that must have had crashes, and of different ends of replicas that
	// were these crashes, for a service to count as failing.
	minCrashing = 3
)

// outcome is the end of one run: a suspected crash of the replica or a completed run.
type outcome struct {
	content uint64
	// crash identifies the crash; 0 after a completed run.
	crash uint64
	at    time.Duration
}

// outcomes holds how the last runs of a service ended, the oldest first.
type outcomes []outcome

// add appends an outcome and, if there are too many, drops the older half.
func (o outcomes) add(content, crash uint64, now time.Duration) outcomes {
	if len(o) >= maxOutcomes {
		o = append(outcomes(nil), o[len(o)-maxOutcomes/2:]...)
	}
	return append(o, outcome{content, crash, now})
}

// isFailing reports whether most recent runs of requests with other contents ended in crashes. Then a crash is no evidence
// against the request itself. Crashes of others that are also crashes of this request, one of which may not be among the outcomes
// yet, say nothing about the service.
func (o outcomes) isFailing(content, crash uint64, now time.Duration) bool {
	own := map[uint64]bool{crash: true}
	for _, r := range o {
		if r.content == content {
			own[r.crash] = true
		}
	}
	crashing, crashes := map[uint64]bool{}, map[uint64]bool{}
	ended := 0
	for _, r := range o {
		switch {
		case r.content == content || now-r.at >= outcomeMaxAge:
		case r.crash == 0:
			ended++
		case !own[r.crash]:
			crashing[r.content], crashes[r.crash] = true, true
		}
	}
	return len(crashing) >= minCrashing && len(crashes) >= minCrashing && len(crashes) > ended
}
