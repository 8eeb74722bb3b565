package hgpace

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// startLimit is the number of requests in flight from which the limit of a replica grows. A replica that cannot serve costs one.
	startLimit = 1
	// fullPerSlot is the limit, as a multiple of the slots, from which there is none. It is the most that a placer sends to a replica.
	// From startLimit it takes as many good answers, at all nodes together.
	fullPerSlot = 3
	// limitCut is the factor by which a refusal, a failure or a late answer reduces the limit.
	limitCut = 0.5
	// cutInterval is the least time between two cuts. The requests in flight at a cut say the same once more.
	cutInterval = 100 * time.Millisecond
	// badStreak is the number of bad answers in a row from which they reduce the limit. One may be the fault of its request.
	badStreak = 2
	// lateFactor is how many times both the replica's own usual time and the service's 95th percentile an answer may take, apart from
	// the reported slowness.
	lateFactor = 2
	// usualWeight is the weight of an answer in the usual time of its replica.
	usualWeight = 0.05
	// shareSlot is the time after which other nodes have the first turn while the limit is below one request for each node.
	shareSlot = 250 * time.Millisecond
	// creditTTL is how long a node states its part of a limit that no longer holds, so that the others learn that it is full.
	creditTTL = 3 * time.Second
	// maxCredits is the number of nodes whose part of a limit is passed on for each replica. Slots are at most about 16 a replica.
	maxCredits = 16
)

// Reasons for a limit.
const (
	limitStarted   = "started"
	limitSuspected = "was suspected of hanging"
	limitRefused   = "refuses"
	limitFailed    = "fails"
	limitLate      = "answers late"
)

// limit is the limit of requests in flight of a replica. After a start or a verdict it is one for all nodes together: startLimit
// and the credits of all nodes. After bad answers it is one of the requests of the node that got them, as each node learns of an
// overload by itself: startLimit and its credit. The credit grows by one with each good answer and is cut by bad ones.
type limit struct {
	// why is the reason of the limit; empty if there is none.
	why    string
	credit float64
	// others is the sum of the other nodes' credits, and fullAt when the limit was last lifted.
	others float64
	fullAt time.Duration
	cutAt  time.Duration
	bad    int
	// usual is the average time to the first byte, without the slowness, in nanoseconds.
	usual float64
}

// Credit is the part of the limit of a replica that a node contributes.
type Credit struct {
	VM       string
	ID, Born string
	Credit   float64
	Age      time.Duration
}

// begin begins a limit with a credit.
func (l *limit) begin(why string, credit float64) { l.why, l.credit, l.others = why, credit, 0 }

// isShared reports whether the limit is one for all nodes together.
func (l *limit) isShared() bool { return l.why == limitStarted || l.why == limitSuspected }

// total returns the limit.
func (l *limit) total() float64 {
	if l.isShared() {
		return startLimit + l.credit + l.others
	}
	return startLimit + l.credit
}

// SetSlots sets the number of requests that the replica runs at once.
func (r *Replica) SetSlots(n int) { r.slots = max(n, 1) }

// RecordGood records that a request ended soundly whose answer began after took; now is when it began.
func (r *Replica) RecordGood(now, took time.Duration) {
	l := &r.limit
	own := float64(took) / r.Slowness(now)
	late := l.usual > 0 && r.service.usual > 0 && own > lateFactor*l.usual && own > lateFactor*float64(r.service.usual)
	if l.usual == 0 {
		l.usual = own
	}
	l.usual += usualWeight * (own - l.usual)
	if late {
		r.recordBad(now, limitLate)
		return
	}
	l.bad = 0
	if l.why != "" {
		l.credit++
		r.liftLimit(now)
	}
}

// RecordRefused records that the replica refused a request, and RecordFailed that it failed one or broke off.
func (r *Replica) RecordRefused(now time.Duration) { r.recordBad(now, limitRefused) }

// RecordFailed records that the replica failed a request or broke off.
func (r *Replica) RecordFailed(now time.Duration) { r.recordBad(now, limitFailed) }

func (r *Replica) recordBad(now time.Duration, why string) {
	l := &r.limit
	l.bad++
	if !r.service.enabled || l.bad < badStreak || l.cutAt > 0 && now-l.cutAt < cutInterval {
		return
	}
	l.cutAt = now
	if l.why == "" {
		l.begin(why, float64(r.ownInFlight))
	}
	if !l.isShared() {
		l.why = why
	}
	l.credit *= limitCut
}

// liftLimit ends the limit once it is full.
func (r *Replica) liftLimit(now time.Duration) {
	if l := &r.limit; l.why != "" && l.total() >= float64(fullPerSlot*r.slots) {
		if l.isShared() {
			l.fullAt = now
		}
		l.why = ""
	}
}

// HasRoom reports whether this node may send the replica one more request under its limit. own and all are the requests in flight
// of this node and of all nodes. Each node has an equal share of a shared limit; what is left of it goes to the nodes in an order that
// rendezvous hashing makes anew for each slot, so that not all nodes send the first request at once. A placer decides for all
// nodes of its domain.
func (t *Tracker) HasRoom(r *Replica, own, all int, placer bool, now time.Duration) bool {
	r.ownInFlight = own
	total := int(r.limit.total())
	switch {
	case r.limit.why == "":
		return true
	case !r.limit.isShared():
		return own < total
	}
	if all >= total {
		return false
	}
	name, names := t.self, t.site
	if placer {
		name, names = t.domain, t.domains
	}
	n := max(len(names), 1)
	share := total / n
	if rank(name, names, r.id, int64((now+t.wall)/shareSlot)) < total%n {
		share++
	}
	return own < share
}

// rank returns the position of a name among all by their hashes for a replica and a slot.
func rank(name string, all []string, replica string, slot int64) (n int) {
	own := score(name, replica, slot)
	for _, o := range all {
		if o != name && score(o, replica, slot) > own {
			n++
		}
	}
	return n
}

func score(name, replica string, slot int64) uint64 {
	d := xxhash.NewWithSeed(uint64(slot))
	_, _ = d.WriteString(replica + "/" + name) // it returns no error
	return d.Sum64()
}

// Limit returns the limit of requests in flight and its reason, which is empty if there is none.
func (r *Replica) Limit() (n int, why string) {
	if r.limit.why == "" {
		return 0, ""
	}
	return int(r.limit.total()), r.limit.why
}

// credits returns the parts of limits that this node states.
func (t *Tracker) credits(now time.Duration) (all []Credit) {
	for _, s := range t.services {
		for _, r := range s.replicas {
			l := &r.limit
			if l.credit > 0 && (l.isShared() || l.why == "" && l.fullAt > 0 && now-l.fullAt < creditTTL) {
				all = append(all, Credit{VM: t.self, ID: r.id, Born: r.born, Credit: l.credit})
			}
		}
	}
	return all
}

// setCredits replaces the parts of limits that the other nodes state.
func (t *Tracker) setCredits(now time.Duration, credits []Credit) {
	for _, s := range t.services {
		for _, r := range s.replicas {
			r.limit.others = 0
		}
	}
	for _, c := range credits {
		if r := t.find(c.ID, c.Born); r != nil && c.VM != t.self && c.Credit > 0 {
			r.limit.others += min(c.Credit, float64(fullPerSlot*r.slots))
			r.liftLimit(now)
		}
	}
}

// mergeCredits keeps the latest statement of each node about each replica, of maxCredits nodes for each replica the largest.
func mergeCredits(all []Credit) (merged []Credit) {
	type key struct{ vm, id, born string }
	latest := map[key]Credit{}
	for _, c := range all {
		k := key{c.VM, c.ID, c.Born}
		if have, ok := latest[k]; !ok || c.Age < have.Age {
			latest[k] = c
		}
	}
	for _, c := range latest {
		merged = append(merged, c)
	}
	slices.SortFunc(merged, func(a, b Credit) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Born, b.Born), cmp.Compare(b.Credit, a.Credit), cmp.Compare(a.VM, b.VM))
	})
	count := map[key]int{}
	return slices.DeleteFunc(merged, func(c Credit) bool {
		k := key{"", c.ID, c.Born}
		count[k]++
		return count[k] > maxCredits
	})
}
