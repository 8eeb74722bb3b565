package hgpace

import (
	"slices"
	"time"
)

// lostTTL is how long a request that ended unanswered counts as overdue. Without a probe in that time, because no request of the
// service may be repeated, the replica gets requests again.
const lostTTL = 3 * time.Second

// Replica is the state of one incarnation of a replica.
type Replica struct {
	id, born string
	service  *service
	// open are the requests of this node that wait for an answer, in the order of their begin, and lost those that were overdue
	// when they ended.
	open []*Request
	lost []lostRequest
	// answeredAt is when this node last had an answer, and answeredBegan the latest begin of an answered request.
	answeredAt, answeredBegan time.Duration
	// elsewhereAt is when another node last had an answer, and reports are the statements of other nodes.
	elsewhereAt time.Duration
	reports     []report
	// suspected says that the verdict holds, since suspectedAt; why describes it.
	suspected   bool
	suspectedAt time.Duration
	why         evidence
	// probedAt is when this node last sent a probe.
	probedAt time.Duration
	slowness slowness
	limit    limit
	// slots is the number of requests that the replica runs at once, and ownInFlight those of this node at the last look.
	slots, ownInFlight int
}

// Request is a request of this node that waits for its answer.
type Request struct {
	replica *Replica
	began   time.Duration
}

// lostRequest is a request that ended unanswered. If it was a late probe, it counts whatever the threshold of the service.
type lostRequest struct {
	began, until time.Duration
	isProbe      bool
}

// Begin records that a request is sent to the replica.
func (r *Replica) Begin(now time.Duration) *Request {
	q := &Request{replica: r, began: now}
	r.open = append(r.open, q)
	return q
}

// Answered records the first byte of the answer.
func (q *Request) Answered(now time.Duration) {
	q.replica.open = without(q.replica.open, q)
	q.replica.answered(now, q.began)
}

// Ended records that the request ended. If it was overdue without an answer, it counts as overdue for lostTTL.
func (q *Request) Ended(now time.Duration) {
	r := q.replica
	before := len(r.open)
	r.open = without(r.open, q)
	if len(r.open) < before && r.isOverdue(q.began, now) {
		r.lost = append(r.lost, lostRequest{began: q.began, until: now + lostTTL})
	}
}

// Late records that the request was a probe that was not answered in its time, and ends it.
func (q *Request) Late(now time.Duration) {
	r := q.replica
	r.open = without(r.open, q)
	r.lost = append(r.lost, lostRequest{began: q.began, until: now + lostTTL, isProbe: true})
}

func without(open []*Request, q *Request) []*Request {
	return slices.DeleteFunc(open, func(o *Request) bool { return o == q })
}

// answered records an answer to a request that began at the given time.
func (r *Replica) answered(at, began time.Duration) {
	r.answeredAt = max(r.answeredAt, at)
	r.answeredBegan = max(r.answeredBegan, began)
	r.lost = nil
}

// Answered records an answer to a request of another node, whose first byte came at the given time, after took.
func (r *Replica) Answered(at, took time.Duration) { r.answered(at, at-took) }

// RecordTook adds the time to the first byte of an answer to the distribution of the service.
func (r *Replica) RecordTook(now, took time.Duration) { r.service.record(now, took) }

// silentSince returns since when the replica has been silent towards a request. ok is false if the replica has answered a later
// request, so that only this one is slow.
func (r *Replica) silentSince(began time.Duration) (since time.Duration, ok bool) {
	return max(began, r.answeredAt), began >= r.answeredBegan
}

// isOverdue reports whether the replica has been silent towards a request for longer than the service's threshold.
func (r *Replica) isOverdue(began, now time.Duration) bool {
	limit := r.service.threshold(now)
	since, ok := r.silentSince(began)
	return ok && limit > 0 && now-since > limit
}

// overdue describes the requests of this node that are overdue now.
func (r *Replica) overdue(now time.Duration) (c claim) {
	r.lost = slices.DeleteFunc(r.lost, func(l lostRequest) bool { return now >= l.until })
	c.replica = r
	add := func(began time.Duration, isProbe bool) {
		since, ok := r.silentSince(began)
		if !ok || !isProbe && !r.isOverdue(began, now) {
			return
		}
		if c.requests == 0 || since < c.first {
			c.first = since
		}
		c.since = max(c.since, since)
		c.requests++
	}
	for _, q := range r.open {
		add(q.began, false)
	}
	for _, l := range r.lost {
		add(l.began, l.isProbe)
	}
	return c
}

// IsSuspected reports whether the replica is suspected of hanging, as of the last review.
func (r *Replica) IsSuspected() bool { return r.suspected }
