package hgsuspect

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopgrade/hgtimer"
)

const (
	// maxBreaks is the number of replicas that may break off under a request before it is refused. Lost answers look
	// the same; three in a row of one request are rare among them.
	maxBreaks = 3
	// keepFor is how long a break counts.
	keepFor = time.Minute
	// maxEntries bounds the list; the oldest entries go first.
	maxEntries = 10_000
)

// Digest identifies a request by what its caller sends again when it comes back.
func Digest(method, uri, object string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(method), []byte(uri), []byte(object), body} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

type entry struct {
	breaks int
	at     time.Duration
}

// List counts breaks by request; it is safe for concurrent use.
type List struct {
	timer hgtimer.Timer

	mu      sync.Mutex
	entries map[uint64]entry
}

// NewList returns an empty list.
func NewList(timer hgtimer.Timer) *List { return &List{timer: timer, entries: map[uint64]entry{}} }

// Broke tells that a replica broke off while it ran a request, at this VM or at a peer, and returns the breaks that count.
func (l *List) Broke(digest uint64) (breaks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	if len(l.entries) >= maxEntries {
		l.forget(now)
	}
	e := l.entries[digest]
	if now-e.at > keepFor {
		e.breaks = 0
	}
	l.entries[digest] = entry{breaks: e.breaks + 1, at: now}
	return e.breaks + 1
}

// Ended tells that a replica ran a request to its end, which clears it.
func (l *List) Ended(digest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, digest)
}

// Refused says whether a request is not to be run, and for how much longer.
func (l *List) Refused(digest uint64) (left time.Duration, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[digest]
	left = keepFor - (l.timer.Now() - e.at)
	return left, ok && e.breaks >= maxBreaks && left > 0
}

// forget drops entries that no longer count, or all if none does; l.mu is held.
func (l *List) forget(now time.Duration) {
	for digest, e := range l.entries {
		if now-e.at > keepFor {
			delete(l.entries, digest)
		}
	}
	if len(l.entries) >= maxEntries {
		clear(l.entries)
	}
}
