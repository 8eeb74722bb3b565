package hgsoak

import (
	"net/http"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	hgplatform "hyssopgrade/platform"
)

// drainTime is the time after which a VM that has passed on an answer of a replica that leaves sends nothing more there.
const drainTime = time.Second

// way is how an attempt went.
type way struct {
	// vm is the entry VM, and run counts its starts and freezes.
	vm   int
	run  int64
	sent time.Time
}

// passed takes through which entry VM an attempt went, and whether the answer tells that its replica leaves.
func (c *checker) passed(attempt string, w way, reply hgsite.Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ways[attempt] = w
	if err == nil && (hgplatform.Dialect{}).DecodeAnswer(http.StatusOK, reply.Header).Leaving {
		c.words[attempt] = time.Now()
	}
}

// told is what a run of an entry VM has heard of a run of a replica.
type told struct {
	vm            int
	run           int64
	replica, born string
}

// checkLeaving looks for requests that reached a replica later than its word that it leaves allows; c.mu is held.
func (c *checker) checkLeaving(runs []hgsite.Run) {
	words := map[told]time.Time{}
	of := func(r hgsite.Run) told {
		w := c.ways[r.Attempt]
		return told{w.vm, w.run, r.Replica, r.Incarnation}
	}
	for _, r := range runs {
		// A stream that went on at another replica bears the head of the first one.
		if at, ok := c.words[r.Attempt]; ok && r.Leaving && (words[of(r)].IsZero() || at.Before(words[of(r)])) {
			words[of(r)] = at
		}
	}
	for _, r := range runs {
		at, ok := words[of(r)]
		if sent := c.ways[r.Attempt].sent; ok && sent.Sub(at) > drainTime {
			c.violate("attempt %s reached %s %v after its word that it leaves", r.Attempt, r.Replica, sent.Sub(at))
		}
	}
}
