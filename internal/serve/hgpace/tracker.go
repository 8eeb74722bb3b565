package hgpace

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minReporters is the number of nodes at which a replica must be overdue. One node's link to one replica may be the cause.
	minReporters = 2
	// minRequests is the number of overdue requests from which the statement of one node is enough. Two may be slow by themselves.
	minRequests = 3
	// answerMargin is by how much an answer at another node must be later than the begin of a silence to end it. The times pass
	// through messages, which are delayed by some milliseconds.
	answerMargin = 50 * time.Millisecond
	// newsDelay is how long an answer at another node may take to be known here: two heartbeat periods of at most 430 ms and a message.
	newsDelay = time.Second
	// suspectShare is the number of replicas of a service for each that may be suspected. The others can take on a third of the load.
	suspectShare = 3
	// probeSlot is the time in which one node may send one probe to a suspected replica: a replica that answers again gets requests
	// after about a second.
	probeSlot = time.Second
	// maxProbe is the longest time for which a probe waits before it is sent elsewhere. It leaves a quarter of the slot to begin one.
	maxProbe = 750 * time.Millisecond
)

// report is the statement of another node about a replica.
type report struct {
	requests     int
	first, since time.Duration
}

// evidence is what a verdict is based on.
type evidence struct {
	reporters, requests int
	since               time.Duration
}

// holds reports whether the evidence is enough for a verdict, or to keep one.
func (e evidence) holds(suspected bool) bool {
	return e.reporters >= minReporters || e.requests >= minRequests || suspected && e.reporters > 0
}

// Tracker holds the state of all replicas as one node sees it; it is not safe for concurrent use.
type Tracker struct {
	services map[string]*service
	// self and domain are the node, and peers the live nodes of its failure domain.
	self, domain   string
	peers, domains []string
	// site are the live nodes of all domains.
	site []string
	// wall is the difference between the wall clock and the timer, which makes the nodes agree on the slots for probes.
	wall time.Duration
}

// NewTracker returns a tracker without replicas.
func NewTracker() *Tracker { return &Tracker{services: map[string]*service{}} }

// Add adds a new incarnation of a replica.
func (t *Tracker) Add(id, born, serviceName string) *Replica {
	s, ok := t.services[serviceName]
	if !ok {
		s = newService()
		t.services[serviceName] = s
	}
	r := &Replica{id: id, born: born, service: s, slots: 1}
	if s.enabled {
		r.limit.begin(limitStarted, 0)
	}
	s.replicas[id] = r
	return r
}

// Remove removes an incarnation of a replica.
func (t *Tracker) Remove(r *Replica) {
	if r.service.replicas[r.id] == r {
		delete(r.service.replicas, r.id)
	}
}

// claim is what this node observes of an overdue replica, which has been silent since first towards the first overdue request, and
// since the time since towards the last one.
type claim struct {
	replica      *Replica
	requests     int
	first, since time.Duration
}

// claims returns what this node states about overdue replicas. It makes no statement unless at least as many other replicas have
// answered since the silence began: otherwise its own link is the likely cause.
func (t *Tracker) claims(now time.Duration) (all []claim) {
	var good []time.Duration
	for _, s := range t.services {
		for _, r := range s.replicas {
			if c := r.overdue(now); c.requests > 0 {
				all = append(all, c)
			} else if r.answeredAt > 0 {
				good = append(good, r.answeredAt)
			}
		}
	}
	overdue := len(all)
	return slices.DeleteFunc(all, func(c claim) bool {
		answered := 0
		for _, at := range good {
			if at > c.first {
				answered++
			}
		}
		return !c.replica.service.enabled || overdue > answered
	})
}

// News returns what this node tells its peers: its overdue replicas, and its answers of replicas that are overdue elsewhere.
func (t *Tracker) News(now time.Duration) (n News) {
	for _, c := range t.claims(now) {
		n.Overdue = append(n.Overdue, Overdue{VM: t.self, ID: c.replica.id, Born: c.replica.born, Requests: c.requests, First: now - c.first, Silence: now - c.since})
	}
	for _, s := range t.services {
		for _, r := range s.replicas {
			if slices.ContainsFunc(r.reports, func(p report) bool { return r.answeredAt > p.first }) {
				n.Answers = append(n.Answers, Answer{ID: r.id, Born: r.born, Ago: now - r.answeredAt})
			}
		}
	}
	n.Credits = t.credits(now)
	return n
}

// SetNews replaces what the other nodes state. Statements about incarnations that are not known are ignored.
func (t *Tracker) SetNews(now time.Duration, n News) {
	for _, s := range t.services {
		for _, r := range s.replicas {
			r.reports = nil
		}
	}
	for _, o := range n.Overdue {
		if r := t.find(o.ID, o.Born); r != nil && o.VM != t.self && o.Requests > 0 {
			r.service.enabled = true
			r.reports = append(r.reports, report{requests: o.Requests, first: now - max(o.First, o.Silence, 0), since: now - max(o.Silence, 0)})
		}
	}
	for _, a := range n.Answers {
		if r := t.find(a.ID, a.Born); r != nil {
			r.elsewhereAt = max(r.elsewhereAt, now-max(a.Ago, 0))
		}
	}
	t.setCredits(now, n.Credits)
}

// find returns an incarnation of a replica; nil if it is not known.
func (t *Tracker) find(id, born string) *Replica {
	for _, s := range t.services {
		if r, ok := s.replicas[id]; ok && r.born == born {
			return r
		}
	}
	return nil
}

// Change is the begin or the end of a verdict.
type Change struct {
	ID, Born  string
	Suspected bool
	// Reporters is the number of nodes at which the replica is overdue, Requests the most overdue requests at one of them, Silence
	// the longest silence, and Lasted how long the verdict held.
	Reporters, Requests int
	Silence, Lasted     time.Duration
	// Answered says that the verdict ends with an answer, and not for lack of evidence.
	Answered bool
}

// Review updates the verdicts and returns those that begin or end. At most one replica in suspectShare of a service is suspected,
// those that have been silent for longest.
func (t *Tracker) Review(now time.Duration) (changes []Change) {
	own := map[*Replica]claim{}
	for _, c := range t.claims(now) {
		own[c.replica] = c
	}
	for _, s := range t.services {
		var hanging []*Replica
		found := map[*Replica]evidence{}
		for _, r := range s.replicas {
			e := r.evidence(own[r], t.isAlone(), now)
			if s.enabled && e.holds(r.suspected) {
				hanging = append(hanging, r)
				found[r] = e
			}
		}
		slices.SortFunc(hanging, func(a, b *Replica) int {
			return cmp.Or(cmp.Compare(a.sinceWhen(found[a]), b.sinceWhen(found[b])), cmp.Compare(a.id, b.id))
		})
		hanging = hanging[:min(len(hanging), len(s.replicas)/suspectShare)]
		for _, r := range s.replicas {
			if c, ok := r.set(slices.Contains(hanging, r), found[r], now); ok {
				changes = append(changes, c)
			}
		}
	}
	return changes
}

// evidence returns what speaks for a verdict, without the statements that an answer at any node contradicts. The overdue requests
// of one node count by their number only after the other nodes had the time to contradict, unless there are none.
func (r *Replica) evidence(own claim, alone bool, now time.Duration) (e evidence) {
	add := func(p report) {
		if r.contradicts(p, now) {
			return
		}
		if e.reporters == 0 || p.since < e.since {
			e.since = p.since
		}
		e.reporters++
		if alone || now-p.first > r.service.threshold(now)+newsDelay {
			e.requests = max(e.requests, p.requests)
		}
	}
	if own.requests > 0 {
		add(report{own.requests, own.first, own.since})
	}
	for _, p := range r.reports {
		add(p)
	}
	return e
}

// contradicts reports whether the replica answers some node. An answer after the first overdue request but not after the last one
// may be from before a hang; the replica then must have been silent towards all nodes for as long as news of an answer may take.
func (r *Replica) contradicts(p report, now time.Duration) bool {
	last := max(r.answeredAt, r.elsewhereAt)
	return last > p.since+answerMargin || last > p.first+answerMargin && now-last <= r.service.threshold(now)+newsDelay
}

// isAlone reports whether this node has no peers that could contradict it.
func (t *Tracker) isAlone() bool { return len(t.peers) <= 1 && len(t.domains) <= 1 }

// sinceWhen returns since when the replica is taken to hang.
func (r *Replica) sinceWhen(e evidence) time.Duration {
	if r.suspected {
		return min(r.suspectedAt, e.since)
	}
	return e.since
}

// set sets the verdict; ok is false if that is no change.
func (r *Replica) set(suspected bool, e evidence, now time.Duration) (c Change, ok bool) {
	was := r.suspected
	if suspected {
		r.why = e
	}
	if r.suspected = suspected; was == suspected {
		return c, false
	}
	c = Change{ID: r.id, Born: r.born, Suspected: suspected, Reporters: r.why.reporters, Requests: r.why.requests, Silence: now - r.why.since}
	if suspected {
		r.suspectedAt = now
		r.limit.begin(limitSuspected, 0)
	} else {
		c.Lasted, c.Answered = now-r.suspectedAt, max(r.answeredAt, r.elsewhereAt) > r.why.since
		if c.Answered && c.Lasted < newsDelay {
			// The others may never have suspected the replica. They then state no credits and keep it busy, so that the limit would not lift.
			r.limit.why = ""
		}
	}
	return c, true
}

// SetSite sets this node, the live nodes, those of its failure domain and the failure domains with a live node, all of them with
// this node's own. wall is the difference between the wall clock and the timer.
func (t *Tracker) SetSite(self, domain string, site, peers, domains []string, wall time.Duration) {
	t.self, t.domain, t.site, t.peers, t.domains, t.wall = self, domain, site, peers, domains, wall
}

// MayProbe reports whether this node may now send a probe to a suspected replica. In each slot rendezvous hashing selects one
// failure domain, and in it one node; a placer decides for all nodes of its domain. A probe must end within its slot, so that there is
// one at a time.
func (t *Tracker) MayProbe(r *Replica, placer bool, now time.Duration) bool {
	if r.probedAt > 0 && now-r.probedAt < probeSlot {
		return false
	}
	if (now+t.wall)%probeSlot+r.ProbeLimit(now) > probeSlot {
		return false
	}
	slot := int64((now + t.wall) / probeSlot)
	if !wins(t.domain, t.domains, r.id, slot) {
		return false
	}
	return placer || wins(t.self, t.peers, r.id, slot)
}

// ProbeLimit returns the time in which a probe must be answered.
func (r *Replica) ProbeLimit(now time.Duration) time.Duration {
	return min(max(r.service.threshold(now), minOverdue), maxProbe)
}

// Probe records that a probe is sent and returns its limit.
func (r *Replica) Probe(now time.Duration) (limit time.Duration) {
	r.probedAt = now
	return r.ProbeLimit(now)
}

// wins reports whether a name has the highest hash of all for a replica and a slot.
func wins(name string, all []string, replica string, slot int64) bool {
	return rank(name, all, replica, slot) == 0
}
