package hgsuspect

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
)

// maxCompletions bounds each of the two maps of completions. VMs hear of crashes within a second or two, in which they complete
// fewer requests.
const maxCompletions = 5000

// completions holds when requests last completed at this VM, by digest, for those whose crashes elsewhere are heard of later. When
// recent is full it takes the place of older.
type completions struct{ recent, older map[uint64]time.Duration }

func (c *completions) add(digest uint64, now time.Duration) {
	if len(c.recent) >= maxCompletions {
		c.recent, c.older = c.older, c.recent
		clear(c.recent)
	}
	c.recent[digest] = now
}

// last returns when a request last completed; ok is false if that is not known.
func (c *completions) last(digest uint64) (at time.Duration, ok bool) {
	if at, ok = c.recent[digest]; !ok {
		at, ok = c.older[digest]
	}
	return at, ok
}

// addProof adds the last completion at this VM to an entry that has no proof or crashes between its proof and the completion;
// l.mu is held.
func (l *List) addProof(digest uint64, e *entry, now time.Duration) {
	at, ok := l.completions.last(digest)
	if !ok || now-at > retention {
		return
	}
	isNews := lo.SomeBy(e.crashesSinceProof(now), func(c crash) bool { return c.at <= at })
	if e.proof.seq > 0 && !isNews {
		return
	}
	l.change(digest, e, now, sourceLocal, func() { e.proof = proof{seq: e.proof.seq + 1, id: rand.Uint64(), at: at} })
}
