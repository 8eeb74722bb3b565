package hgsuspect

import "time"

const (
	// outcomeMaxAge is how long the outcome of a run counts when a service is checked for failing.
	outcomeMaxAge = time.Second
	// maxOutcomes bounds the outcomes that are kept per service.
	maxOutcomes = 32
	// minCrashing is the number of different other requests that must have had crashes for a service to count as failing.
	minCrashing = 3
)

// outcome is the end of one run: a suspected crash of the replica or a completed run.
type outcome struct {
	content uint64
	crashed bool
	at      time.Duration
}

// outcomes holds how the last runs of a service ended, the oldest first.
type outcomes []outcome

// add appends an outcome and, if there are too many, drops the older half.
func (o outcomes) add(content uint64, crashed bool, now time.Duration) outcomes {
	if len(o) >= maxOutcomes {
		o = append(outcomes(nil), o[len(o)-maxOutcomes/2:]...)
	}
	return append(o, outcome{content, crashed, now})
}

// isFailing reports whether most recent runs of requests with other contents ended in crashes. Then a crash is no evidence
// against the request itself.
func (o outcomes) isFailing(content uint64, now time.Duration) bool {
	crashing := map[uint64]bool{}
	crashed, ended := 0, 0
	for _, r := range o {
		switch {
		case r.content == content || now-r.at >= outcomeMaxAge:
		case r.crashed:
			crashing[r.content] = true
			crashed++
		default:
			ended++
		}
	}
	return len(crashing) >= minCrashing && crashed > ended
}
