package hgquarantine

import (
	"time"

	"github.com/samber/lo"
)

// Verdict says how a request may run.
type Verdict string

// The verdicts.
const (
	// Free requests run beside others.
	Free Verdict = "free"
	// Alone requests run only on an endpoint that runs nothing else.
	Alone Verdict = "alone"
	// Refused requests do not run.
	Refused Verdict = "refused"
)

// Suspect is a request, by its digest, that was running when an endpoint died.
type Suspect struct {
	Digest string `json:"digest"`
	// Deaths counts the endpoints that died under it.
	Deaths int `json:"deaths"`
	// Cleared says that it ran to its end since.
	Cleared bool `json:"cleared"`
	// Age is the time since the last change.
	Age time.Duration `json:"age"`
}

// maxDeaths is the number of endpoint deaths after which a request no longer runs.
const maxDeaths = 2

type entry struct {
	deaths  int
	cleared bool
	at      time.Duration
}

// List is the state machine without locks; entries are kept for a time and then dropped.
type List struct {
	keep    time.Duration
	entries map[string]entry
}

// NewList returns an empty list that keeps entries for the given time.
func NewList(keep time.Duration) *List {
	return &List{keep: keep, entries: map[string]entry{}}
}

// Check returns how a request may run.
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

// Died tells that an endpoint died while it ran the request, and returns the changed suspect.
// Beside others the request may be innocent, so that only a death while it ran alone adds to an earlier one.
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

// Finished tells that the request ran to its end; ok says that this cleared a suspect.
func (l *List) Finished(digest string, now time.Duration) (s Suspect, ok bool) {
	e, found := l.entries[digest]
	if !found || e.cleared {
		return s, false
	}
	l.entries[digest] = entry{cleared: true, at: now}
	return Suspect{Digest: digest, Cleared: true}, true
}

// Merge takes in what a peer knows; the newer entry wins, and of two that are equally new the one with more deaths.
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

// Suspects returns the entries and drops those that are older than the list keeps.
func (l *List) Suspects(now time.Duration) []Suspect {
	l.entries = lo.OmitBy(l.entries, func(_ string, e entry) bool { return now-e.at > l.keep })
	return lo.MapToSlice(l.entries, func(d string, e entry) Suspect {
		return Suspect{Digest: d, Deaths: e.deaths, Cleared: e.cleared, Age: now - e.at}
	})
}
