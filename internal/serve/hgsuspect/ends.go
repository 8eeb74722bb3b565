package hgsuspect

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// endNumberBits is the number of low bits of a crash's identifier that number the ends of one incarnation. The other bits
	// identify the incarnation, so that all VMs that observe an end give it the same identifier.
	endNumberBits = 16
	// endSpread is the longest time between the ends of the first and the last run that one end of a replica breaks off. A replica's
	// host may leave sent bytes unacknowledged for 1.5 s, and a run on a silent one may go on until its deadline.
	endSpread = unansweredMaxAge
)

// end is the last known end of an incarnation of a replica. An incarnation has further ends if it did not end, but only broke
// connections.
type end struct {
	number uint64
	at     time.Duration
}

// ends holds the last known end by incarnation, which is a crash's identifier without the number.
type ends map[uint64]end

// incarnation returns the identifier of the incarnation on which a request ran, with zeros in place of an end's number.
func (r Run) incarnation() uint64 {
	return xxhash.Sum64String(r.Replica+"\x00"+r.Incarnation) >> endNumberBits << endNumberBits
}

// observe returns the end that broke a run off. If the run began before the last known end of its incarnation, it is that
// one, whatever other requests ran there; else it is a new one.
func (s ends) observe(r Run, now time.Duration) crash {
	if r.Replica == "" {
		return crash{id: rand.Uint64(), at: now}
	}
	key := r.incarnation()
	last, ok := s[key]
	ended := now
	if r.Ended > 0 {
		ended = r.Ended
	}
	switch {
	case !ok:
		last = end{at: now}
	case r.Began >= last.at || ended-last.at >= endSpread:
		last = end{number: last.number + 1, at: now}
	}
	s[key] = last
	return crash{id: key | last.number&(1<<endNumberBits-1), at: last.at}
}

// merge adds an end that another VM observed.
func (s ends) merge(c crash) {
	key, number := c.id>>endNumberBits<<endNumberBits, c.id&(1<<endNumberBits-1)
	if last, ok := s[key]; !ok || number > last.number {
		s[key] = end{number: number, at: c.at}
	}
}

// evict drops the ends that no longer count.
func (s ends) evict(now time.Duration) {
	maps.DeleteFunc(s, func(_ uint64, e end) bool { return now-e.at > retention })
}
