package hgsuspect

import (
	"cmp"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgtimer"
)

const (
	// maxCrashes is the number of suspected crashes from which on a request is refused. A lost response looks like a crash,
	// but rarely are three in a row lost of one request.
	maxCrashes = 3
	// retention is how long a request stays on the list after its last crash or proof.
	retention = time.Hour
	// maxEntries bounds the list. The oldest entries are evicted first, those of refused requests last.
	maxEntries = 10_000
	// brokenMaxAge is how long broken copies of a request keep others from a retry. It is longer than a request waits for a lease
	// between two tries, which is at most 1.8 s.
	brokenMaxAge = 2 * time.Second
	// minProofInterval is the least time between two proofs of a request, as each one is sent to all VMs.
	minProofInterval = 500 * time.Millisecond
)

// refusalTimes are how long a request is refused after its last crash, by the number of crashes from maxCrashes on. After each
// time the request may run again, so that one that only coincided with crashes can prove itself harmless; one that does
// crash replicas gets as many retries as there are steps before the last.
var refusalTimes = []time.Duration{time.Minute, 5 * time.Minute, 20 * time.Minute, retention}

// List holds the requests that are suspected of crashing replicas, and merges the lists of other VMs into it; it is safe for
// concurrent use.
type List struct {
	timer hgtimer.Timer
	log   *slog.Logger
	// run is a random identifier of this list; a restarted VM has a list with a new one.
	run uint64

	mu      sync.Mutex
	entries map[uint64]*entry
	// lastNumber is the number of the last change; changes are numbered from 1.
	lastNumber uint64
	// fingerprint combines the fingerprints of all entries; lists with equal entries have the same one.
	fingerprint uint64
	// peers holds the progress of the exchanges with each peer, by its name.
	peers map[string]*peer
	// outcomes holds how the last runs of each service ended at this VM.
	outcomes map[string]outcomes
	// ends holds the last known ends of replicas.
	ends ends
	// completions holds the last completed runs at this VM.
	completions completions
	// unanswered holds the last runs without a response, by replica: the deadline passed, or the caller disconnected, before the
	// response was complete.
	unanswered map[string][]Request
}

// NewList returns an empty list.
func NewList(timer hgtimer.Timer, log *slog.Logger) *List {
	return &List{timer: timer, log: log, run: rand.Uint64(), entries: map[uint64]*entry{}, peers: map[string]*peer{}, outcomes: map[string]outcomes{},
		ends: ends{}, completions: completions{map[uint64]time.Duration{}, map[uint64]time.Duration{}}, unanswered: map[string][]Request{},
	}
}

// RecordCrash records a suspected crash: a replica's connection broke while it ran a request. Runs that one end of a replica
// broke off count as one crash. While the service is failing, the crash is recorded as excused, and only under the digest
// that includes the caller.
func (l *List) RecordCrash(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	c := l.ends.observe(r.Run, now)
	c.excused = l.outcomes[r.Service].isFailing(r.Content, c.id, now)
	l.outcomes[r.Service] = l.outcomes[r.Service].add(r.Content, c.id, now)
	// When a whole service fails, a request that several callers send would soon have enough crashes to be refused for all of
	// them. A caller that keeps resending a request is still recognized by the digest that includes the caller.
	digests := []uint64{r.Caller}
	if !c.excused {
		digests = r.digests()
	}
	for _, digest := range digests {
		e := l.entry(digest, now)
		l.addProof(digest, e, now)
		e.countBroken(now)
		l.change(digest, e, now, sourceLocal, func() { e.addCrash(c) })
		l.log.Info("suspected replica crash recorded", "digest", digest, "caller", digest == r.Caller, "breaks", e.countedCrashes(now), "excused", c.excused)
	}
}

// RecordCompletion records that a replica ran a request to completion. That proves the request harmless: its earlier crashes no
// longer count.
func (l *List) RecordCompletion(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	l.outcomes[r.Service] = l.outcomes[r.Service].add(r.Content, 0, now)
	for _, digest := range r.digests() {
		l.completions.add(digest, now)
		e, ok := l.entries[digest]
		if !ok {
			continue
		}
		e.broken = 0
		if e.proof.seq == 0 || e.allCrashes(now) > 0 && now-e.proof.at >= minProofInterval {
			l.change(digest, e, now, sourceLocal, func() { e.proof = proof{seq: e.proof.seq + 1, id: rand.Uint64(), at: now} })
		}
	}
}

// Refused reports whether a request must not run, and for how much longer. One that only ran beside more suspect ones may run.
func (l *List) Refused(r Request) (left time.Duration, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for _, digest := range r.digests() {
		e, ok := l.entries[digest]
		if !ok {
			continue
		}
		if d := e.refusedFor(now); d > left && !l.isExplained(digest, e, now) {
			left = d
		}
	}
	// While the service is failing, crashes are excused, but a caller that keeps resending the request is still refused.
	if e, ok := l.entries[r.Caller]; ok && left <= 0 && e.allCrashes(now) > maxCrashes && l.outcomes[r.Service].isFailing(r.Content, 0, now) {
		left = outcomeMaxAge
	}
	return left, left > 0
}

// MayRetry reports whether a request whose run broke off may be sent to another replica. It may not if maxCrashes copies broke
// off at this VM, even if one end of a replica did that: each copy could crash another replica before that is known.
func (l *List) MayRetry(r Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	return !lo.SomeBy(r.digests(), func(digest uint64) bool {
		e, ok := l.entries[digest]
		return ok && e.broken >= maxCrashes && now-e.brokenAt < brokenMaxAge
	})
}

// Len returns the number of entries; a request may have two, by content and by caller.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// entry returns the entry of a digest and creates it if there is none; l.mu is held.
func (l *List) entry(digest uint64, now time.Duration) *entry {
	e, ok := l.entries[digest]
	if !ok {
		if len(l.entries) >= maxEntries {
			l.evict(now)
		}
		e = &entry{}
		l.entries[digest] = e
	}
	return e
}

// Sources of changes, for the log; changes from a peer have the peer's name as their source.
const (
	sourceLocal = "here"
	sourceStore = "store"
)

// change runs apply, which modifies an entry, and numbers the change if there was one; l.mu is held.
func (l *List) change(digest uint64, e *entry, now time.Duration, source string, apply func()) {
	before, refused := e.fingerprint(digest), e.refusedFor(now) > 0
	apply()
	after := e.fingerprint(digest)
	if after == before {
		return
	}
	l.fingerprint ^= before ^ after
	l.lastNumber++
	e.changeNumber, e.changedAt = l.lastNumber, now
	if source == sourceLocal {
		e.localNumber = l.lastNumber
	}
	if left := e.refusedFor(now); !refused && left > 0 {
		l.log.Info("refusing request suspected of crashing replicas", "digest", digest, "breaks", e.countedCrashes(now), "for", left, "source", source)
	}
}

// remove deletes an entry and takes it out of the list's fingerprint; l.mu is held.
func (l *List) remove(digest uint64) {
	l.fingerprint ^= l.entries[digest].fingerprint(digest)
	delete(l.entries, digest)
}

// evict removes entries that have not changed within the retention time. If the list stays more than three quarters full it
// removes the older half of the entries that refuse nothing, and if that is not enough the older half of all; l.mu is held.
func (l *List) evict(now time.Duration) {
	for digest, e := range l.entries {
		if now-e.changedAt > retention {
			l.remove(digest)
		}
	}
	l.evictOldest(func(e *entry) bool { return e.refusedFor(now) <= 0 })
	l.evictOldest(func(*entry) bool { return true })
}

// evictOldest removes the older half of the entries for which isEvictable is true, if the list is more than three quarters
// full; l.mu is held.
func (l *List) evictOldest(isEvictable func(e *entry) bool) {
	if len(l.entries) <= maxEntries*3/4 {
		return
	}
	var evictable []uint64
	for digest, e := range l.entries {
		if isEvictable(e) {
			evictable = append(evictable, digest)
		}
	}
	slices.SortFunc(evictable, func(a, b uint64) int { return cmp.Compare(l.entries[a].changedAt, l.entries[b].changedAt) })
	for _, digest := range evictable[:len(evictable)/2] {
		l.remove(digest)
	}
}
