package hgsuspect

import "time"

const (
	// outcomeFor is how long the outcome of a run tells whether its service is sound.
	outcomeFor = time.Second
	// maxOutcomes bounds the outcomes that are kept of a service.
	maxOutcomes = 32
	// minBroken is the number of other requests that must have broken off for a service to count as failing.
	minBroken = 3
)

type outcome struct {
	content uint64
	broke   bool
	at      time.Duration
}

// outcomes are how the last runs of a service ended, the oldest first.
type outcomes []outcome

func (o outcomes) add(content uint64, broke bool, now time.Duration) outcomes {
	if len(o) >= maxOutcomes {
		o = append(outcomes(nil), o[len(o)-maxOutcomes/2:]...)
	}
	return append(o, outcome{content, broke, now})
}

// isFailing says whether most of the other requests broke off lately, so that a break says nothing of the request.
func (o outcomes) isFailing(content uint64, now time.Duration) bool {
	broken := map[uint64]bool{}
	broke, ended := 0, 0
	for _, r := range o {
		switch {
		case r.content == content || now-r.at >= outcomeFor:
		case r.broke:
			broken[r.content] = true
			broke++
		default:
			ended++
		}
	}
	return len(broken) >= minBroken && broke > ended
}
