package hgsoak

import (
	"net/http"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	hgplatform "hyssopgrade/platform"
)

// drainTime is the time after which a VM must send no more requests to a replica that is leaving, counted from the first answer
// through this VM in which the replica announced it.
const drainTime = time.Second

// route records how an attempt entered the site.
type route struct {
	// vm is the index of the entry VM, and generation counts the VM's starts and freezes.
	vm         int
	generation int64
	// sent is the time at which the caller sent the attempt.
	sent time.Time
}

// recordRoute records which entry VM an attempt went through and, if the answer announced that the replica is leaving, the time
// of the answer.
func (c *checker) recordRoute(attempt string, rt route, reply hgsite.Reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routes[attempt] = rt
	if err == nil && (hgplatform.Dialect{}).DecodeAnswer(http.StatusOK, reply.Header).Leaving {
		c.leavingAt[attempt] = time.Now()
	}
}

// vmReplica identifies one generation of an entry VM and one incarnation of a replica. What the VM knows of the replica becomes
// void when either ends.
type vmReplica struct {
	vm                   int
	generation           int64
	replica, incarnation string
}

// checkLeaving checks that no request sent later than drainTime after a leaving announcement reached that replica through the
// same VM; c.mu is held.
func (c *checker) checkLeaving(runs []hgsite.Run) {
	leavingAt := map[vmReplica]time.Time{}
	key := func(r hgsite.Run) vmReplica {
		rt := c.routes[r.Attempt]
		return vmReplica{rt.vm, rt.generation, r.Replica, r.Incarnation}
	}
	for _, r := range runs {
		// A stream resumed at another replica has the headers of the first replica's answer, so r.Leaving is checked as well.
		if at, ok := c.leavingAt[r.Attempt]; ok && r.Leaving && (leavingAt[key(r)].IsZero() || at.Before(leavingAt[key(r)])) {
			leavingAt[key(r)] = at
		}
	}
	for _, r := range runs {
		at, ok := leavingAt[key(r)]
		if sent := c.routes[r.Attempt].sent; ok && sent.Sub(at) > drainTime {
			c.violate("attempt %s reached %s %v after its word that it leaves", r.Attempt, r.Replica, sent.Sub(at))
		}
	}
}
