package hgquarantine

import (
	"time"

	"github.com/samber/lo"
)

// Verdict tells how a request may run.
type Verdict string

// Verdicts, from the least to the most restrictive.
const (
	// Free requests may share an endpoint with other requests.
	Free Verdict = "free"
	// Alone requests run only on an endpoint that runs no other request.
	Alone Verdict = "alone"
	// Refused requests do not run.
	Refused Verdict = "refused"
)

// Suspect is a request that was running when an endpoint died, identified by its digest. Nodes exchange suspects.
type Suspect struct {
	Digest string `json:"digest"`
	// Deaths is the number of endpoint deaths attributed to the request.
	Deaths int `json:"deaths"`
	// Cleared means that the request has since run to completion.
	Cleared bool `json:"cleared"`
	// Age is the time since the entry last changed. It is not a time stamp because the nodes' clocks are not comparable.
	Age time.Duration `json:"age"`
}

// maxDeaths is the number of endpoint deaths at which a request is refused.
const maxDeaths = 2

type entry struct {
	deaths  int
	cleared bool
	// at is the time of the last change.
	at time.Duration
}

// List holds the suspects by digest and drops entries that have not changed for a given time. It has no locks; the caller
// serializes access.
type List struct {
	keep    time.Duration
	entries map[string]entry
}

// NewList returns an empty List that keeps entries for the given time after their last change.
func NewList(keep time.Duration) *List {
	return &List{keep: keep, entries: map[string]entry{}}
}

// Check returns how the request with the given digest may run.
func (l *List) Check(digest string) Verdict {
	e, ok := l.entries[digest]
	switch {
	case !ok || e.cleared:
		return Free
	case e.deaths >= maxDeaths:
		return Refused
	}
	return Alone
}

// Died records that an endpoint died while it ran the request, and returns the changed suspect. If other requests ran on
// the endpoint, any of them may have caused the death; such a death counts only if it is the request's first.
func (l *List) Died(digest string, alone bool, now time.Duration) Suspect {
	e := l.entries[digest]
	if alone || e.deaths == 0 {
		e.deaths++
	}
	e.cleared = false
	e.at = now
	l.entries[digest] = e
	return Suspect{Digest: digest, Deaths: e.deaths}
}

// Finished records that the request ran to completion; ok reports whether this cleared a suspect, which s then describes.
func (l *List) Finished(digest string, now time.Duration) (s Suspect, ok bool) {
	e, found := l.entries[digest]
	if !found || e.cleared {
		return s, false
	}
	l.entries[digest] = entry{cleared: true, at: now}
	return Suspect{Digest: digest, Cleared: true}, true
}

// Merge merges the suspects of a peer. An entry replaces an older or equally old one; if neither is cleared, the higher
// number of deaths is kept.
func (l *List) Merge(suspects []Suspect, now time.Duration) {
	for _, s := range suspects {
		e, ok := l.entries[s.Digest]
		at := now - s.Age
		if ok && at < e.at {
			continue
		}
		if !s.Cleared && !e.cleared {
			s.Deaths = max(s.Deaths, e.deaths)
		}
		l.entries[s.Digest] = entry{deaths: s.Deaths, cleared: s.Cleared, at: at}
	}
}

// Suspects drops the expired entries and returns the others.
func (l *List) Suspects(now time.Duration) []Suspect {
	l.entries = lo.OmitBy(l.entries, func(_ string, e entry) bool { return now-e.at > l.keep })
	return lo.MapToSlice(l.entries, func(d string, e entry) Suspect {
		return Suspect{Digest: d, Deaths: e.deaths, Cleared: e.cleared, Age: now - e.at}
	})
}
