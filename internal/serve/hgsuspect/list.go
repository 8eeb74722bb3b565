package hgsuspect

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hyssopgrade/hgtimer"
)

const (
	// maxBreaks is the number of replicas that may break off under a request before it is refused. Lost answers look
	// the same; three in a row of one request are rare among them.
	maxBreaks = 3
	// keepFor is how long a request stays on the list after its last break or proof.
	keepFor = time.Hour
	// maxEntries bounds the list; the oldest entries go first, those that refuse a request last.
	maxEntries = 10_000
	// refreshProof is the least time between two proofs of a request, which are told to all VMs.
	refreshProof = 500 * time.Millisecond
)

// refusals are how long a request is refused after its last break, by the number of breaks from maxBreaks on. Each time one
// that broke by chance may prove itself; one that ends replicas gets as many retries as there are steps before the last.
var refusals = []time.Duration{time.Minute, 5 * time.Minute, 20 * time.Minute, keepFor}

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
	// outcomes are how runs of each service ended lately at this VM.
	outcomes map[string]outcomes
	// unanswered are the last runs without an answer at each replica.
	unanswered map[string][]unanswered
}

// NewList returns an empty list.
func NewList(timer hgtimer.Timer, log *slog.Logger) *List {
	return &List{timer: timer, log: log, run: rand.Uint64(), entries: map[uint64]*entry{}, peers: map[string]*peer{}, outcomes: map[string]outcomes{},
		unanswered: map[string][]unanswered{},
	}
}

// Broke tells that a replica broke off while it ran a request.
func (l *List) Broke(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	isFailing := l.outcomes[r.Service].isFailing(r.Content, now)
	l.outcomes[r.Service] = l.outcomes[r.Service].add(r.Content, true, now)
	// Under a failing service callers that share the content would have it refused for all, while one that sends it again
	// and again is told by its own digest.
	digests := []uint64{r.Caller}
	if !isFailing {
		digests = r.digests()
	}
	for _, digest := range digests {
		e := l.entry(digest, now)
		l.change(digest, e, now, here, func() { e.addBreak(lostRun{id: rand.Uint64(), at: now, excused: isFailing}) })
		l.log.Info("break counted", "digest", digest, "caller", digest == r.Caller, "breaks", e.count(now), "excused", isFailing)
	}
}

// Ended tells that a replica ran a request to its end, which proves it harmless.
func (l *List) Ended(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	l.outcomes[r.Service] = l.outcomes[r.Service].add(r.Content, false, now)
	for _, digest := range r.digests() {
		e, ok := l.entries[digest]
		if ok && (e.proof.seq == 0 || e.all(now) > 0 && now-e.proof.at >= refreshProof) {
			l.change(digest, e, now, here, func() { e.proof = proof{seq: e.proof.seq + 1, id: rand.Uint64(), at: now} })
		}
	}
}

// Refused says whether a request is not to be run, and for how much longer.
func (l *List) Refused(r Request) (left time.Duration, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for _, digest := range r.digests() {
		if e, ok := l.entries[digest]; ok {
			left = max(left, e.left(now))
		}
	}
	if e, ok := l.entries[r.Caller]; ok && left <= 0 && e.all(now) > maxBreaks && l.outcomes[r.Service].isFailing(r.Content, now) {
		left = outcomeFor
	}
	return left, left > 0
}

// Len returns the number of digests on the list.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// entry returns the entry of a digest, a new one if there is none; l.mu is held.
func (l *List) entry(digest uint64, now time.Duration) *entry {
	e, ok := l.entries[digest]
	if !ok {
		if len(l.entries) >= maxEntries {
			l.forget(now)
		}
		e = &entry{}
		l.entries[digest] = e
	}
	return e
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

// forget drops entries that no longer count, and if there are few of these the older half of those that refuse nothing, or of
// all if there are few of these as well; l.mu is held.
func (l *List) forget(now time.Duration) {
	for digest, e := range l.entries {
		if now-e.at > keepFor {
			l.remove(digest)
		}
	}
	l.forgetOlder(func(e *entry) bool { return e.left(now) <= 0 })
	l.forgetOlder(func(*entry) bool { return true })
}

// forgetOlder drops the older half of the entries that are not kept, if the list is too full; l.mu is held.
func (l *List) forgetOlder(isSpare func(e *entry) bool) {
	if len(l.entries) <= maxEntries*3/4 {
		return
	}
	var spare []uint64
	for digest, e := range l.entries {
		if isSpare(e) {
			spare = append(spare, digest)
		}
	}
	slices.SortFunc(spare, func(a, b uint64) int { return cmp.Compare(l.entries[a].at, l.entries[b].at) })
	for _, digest := range spare[:len(spare)/2] {
		l.remove(digest)
	}
}
