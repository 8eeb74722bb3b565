package hgsuspect

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopgrade/hgtimer"
)

const (
	// maxBreaks is the number of replicas that may break off under a request before it is refused. Lost answers look
	// the same; three in a row of one request are rare among them.
	maxBreaks = 3
	// keepFor is how long a request stays on the list after its last break or proof.
	keepFor = time.Hour
	// maxEntries bounds the list; the oldest entries go first.
	maxEntries = 10_000
	// refreshProof is the time within which one proof of a request stands for all further ones.
	refreshProof = 500 * time.Millisecond
)

// refusals are how long a request is refused after its last break, by the number of breaks from maxBreaks on. Each time one
// that broke by chance may prove itself; one that ends replicas gets as many retries as there are steps before the last.
var refusals = []time.Duration{time.Minute, 5 * time.Minute, 20 * time.Minute, keepFor}

// Digest identifies a request by what its caller sends again when it comes back.
func Digest(method, uri, object string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(method), []byte(uri), []byte(object), body} {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// List holds the requests under which replicas broke off, and merges what other lists know; it is safe for concurrent use.
type List struct {
	timer hgtimer.Timer
	log   *slog.Logger
	// run names the list among all that were ever made.
	run uint64

	mu      sync.Mutex
	entries map[uint64]*entry
	// last is the number of the last change.
	last uint64
	// print is a fingerprint of all entries, the same for lists that hold the same.
	print uint64
	peers map[string]*peer
}

// NewList returns an empty list.
func NewList(timer hgtimer.Timer, log *slog.Logger) *List {
	return &List{timer: timer, log: log, run: rand.Uint64(), entries: map[uint64]*entry{}, peers: map[string]*peer{}}
}

// Broke tells that a replica broke off while it ran a request, and returns the breaks that count.
func (l *List) Broke(digest uint64) (breaks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	if len(l.entries) >= maxEntries {
		l.forget(now)
	}
	e, ok := l.entries[digest]
	if !ok {
		e = &entry{}
		l.entries[digest] = e
	}
	l.change(digest, e, now, here, func() { e.addBreak(brk{id: rand.Uint64(), at: now}) })
	return e.count(now)
}

// Ended tells that a replica ran a request to its end, which proves it harmless.
func (l *List) Ended(digest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[digest]
	now := l.timer.Now()
	if !ok || e.proof.seq > 0 && now-e.proof.at < refreshProof {
		return
	}
	l.change(digest, e, now, here, func() { e.proof = proof{seq: e.proof.seq + 1, id: rand.Uint64(), at: now} })
}

// Refused says whether a request is not to be run, and for how much longer.
func (l *List) Refused(digest uint64) (left time.Duration, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[digest]
	if !ok {
		return 0, false
	}
	left = e.left(l.timer.Now())
	return left, left > 0
}

// Sources of changes besides peers, which stand by their names.
const (
	here  = "here"
	store = "store"
)

// change applies a change from a source to an entry and numbers it; l.mu is held.
func (l *List) change(digest uint64, e *entry, now time.Duration, source string, apply func()) {
	before, refused := e.print(digest), e.left(now) > 0
	apply()
	after := e.print(digest)
	if after == before {
		return
	}
	l.print ^= before ^ after
	l.last++
	e.number, e.at = l.last, now
	if source == here {
		e.own = l.last
	}
	if left := e.left(now); !refused && left > 0 {
		l.log.Info("request refused from now on", "digest", digest, "breaks", e.count(now), "for", left, "source", source)
	}
}

// remove drops an entry; l.mu is held.
func (l *List) remove(digest uint64) {
	l.print ^= l.entries[digest].print(digest)
	delete(l.entries, digest)
}

// forget drops entries that no longer count, or all if none does; l.mu is held.
func (l *List) forget(now time.Duration) {
	for digest, e := range l.entries {
		if now-e.at > keepFor {
			l.remove(digest)
		}
	}
	if len(l.entries) >= maxEntries {
		clear(l.entries)
		l.print = 0
	}
}
