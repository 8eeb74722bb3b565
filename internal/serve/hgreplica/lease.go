package hgreplica

import (
	"net/http"
	"sync"
	"time"

	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgpace"
)

// Lease is the place of a request on a replica. Its holder reports what it observes of the replica and then calls Release.
type Lease struct {
	ID      string
	Address string
	Client  *http.Client
	// FetchFrom is the address of the replica to fetch cached prompt tokens from; empty if nothing is to be fetched.
	FetchFrom string
	// Why holds the figures by which the replica was picked.
	Why     Decision
	set     *Set
	replica *replica
	once    sync.Once
	// answered is when the first byte of the answer arrived; 0 if none did or the replica did not run the request.
	answered time.Duration
	// sent is the request while it waits for its answer; nil unless this node sent it.
	sent *hgpace.Request
	// outcome collects what the holder observed; released is called with it once, by the first Release.
	outcome  Outcome
	released func(o Outcome)
	// adopted says that another node placed the request and counts it as in flight.
	adopted bool
}

// Outcome is what the holder of a lease has observed of the replica.
type Outcome struct {
	// Answered says that the replica ran the request and answered it. Took is the time to the first byte of the answer, and
	// Held the time from there to the release.
	Answered   bool
	Took, Held time.Duration
	// Errored says that the replica ran the request and answered with a failure. Failed and Misdirected say that the lease was
	// marked so with MarkFailed and MarkMisdirected.
	Errored, Failed, Misdirected bool
	// Leaving says that the replica announced that it is leaving.
	Leaving bool
	// Refused says that the replica refused the request without running it.
	Refused bool
	// Slowness is the slowness in percent that the replica reported; 0 if it reported none.
	Slowness int
}

// Adopt returns a lease for a place that another node granted. That node counts the request as in flight, so this one does
// not; released is called with the outcome and must report it there. ok is false if this node knows that the replica is
// gone, leaving or misdirected.
func (s *Set) Adopt(id, fetchFrom string, why Decision, released func(o Outcome)) (l *Lease, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.replicas[id]
	if !ok || r.isLeaving() || r.misdirected {
		return nil, false
	}
	return &Lease{
		ID: id, Address: r.Address, Client: r.client, FetchFrom: fetchFrom, Why: why, set: s, replica: r, released: released, adopted: true,
	}, true
}

// ReplicaEnded reports whether the replica has ended or restarted since the lease was granted.
func (l *Lease) ReplicaEnded() bool {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	return l.set.replicas[l.ID] != l.replica
}

// Born returns the start of the replica's process as of the grant; empty if it is not known.
func (l *Lease) Born() string {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	return l.replica.Born
}

// OnRelease sets the function that Release calls, and replaces the one that was set before.
func (l *Lease) OnRelease(released func(o Outcome)) { l.released = released }

// Apply records the outcome that the holder on another node reported, and releases the lease.
func (l *Lease) Apply(o Outcome) {
	if o.Answered || o.Errored {
		l.recordAnswer(hgattempt.Answer{Failed: o.Errored, Slowness: min(max(o.Slowness, 0), hgattempt.MaxSlowness)}, o.Took, o.Held)
		l.answered = l.set.timer.Now() - o.Held
	}
	if o.Failed {
		l.MarkFailed()
	}
	if o.Refused {
		l.markRefused()
	}
	if o.Misdirected {
		l.MarkMisdirected()
	}
	if o.Leaving {
		l.MarkLeaving()
	}
	l.Release()
}

// Release ends the lease; only the first call has an effect.
func (l *Lease) Release() {
	l.once.Do(func() {
		l.end()
		if l.released != nil {
			l.released(l.outcome)
		}
	})
}

func (l *Lease) end() {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	if !l.adopted {
		l.replica.inFlight--
	}
	if l.sent != nil {
		l.sent.Ended(l.set.timer.Now())
	}
	// Only the end shows that the answer was whole and sound. The node that placed the request counts it.
	if l.outcome.Answered && !l.outcome.Failed && !l.adopted {
		l.replica.pace.RecordGood(l.answered, l.outcome.Took)
	}
	if l.answered > 0 {
		l.outcome.Held = l.set.timer.Now() - l.answered
		l.set.observeHold(l.replica.Service, time.Duration(float64(l.outcome.Held)/l.replica.pace.Slowness(l.set.timer.Now())))
	}
}

// RecordAnswer records the head of an answer and the time to its first byte.
func (l *Lease) RecordAnswer(a hgattempt.Answer, took time.Duration) { l.recordAnswer(a, took, 0) }

// recordAnswer records an answer whose first byte came at the given age.
func (l *Lease) recordAnswer(a hgattempt.Answer, took, age time.Duration) {
	now := l.set.timer.Now()
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	r := l.replica
	l.observe(a, now, took, age)
	if a.IdleTimeout > 0 {
		l.set.keepIdle(r, a.IdleTimeout)
	}
	if a.HasLoad {
		r.reported, r.reportedAt = max(a.Running+a.Waiting-r.inFlight, 0), now
	}
	if a.NotRun {
		return
	}
	l.answered = now
	if a.Failed {
		// The time to a failure says nothing about the time to an answer, so it is not averaged into the delay.
		l.outcome.Errored = true
		r.recordError(now)
		return
	}
	r.streak = 0
	l.outcome.Answered, l.outcome.Took = true, took
	// The average is that of the replica's own work, so that a spell does not count twice.
	took = time.Duration(float64(took) / r.pace.Slowness(now-age))
	if r.delay == 0 {
		r.delay = float64(took)
	}
	r.delay += averageWeight * (float64(took) - r.delay)
	r.delayAt = now
}

// MarkFailed records that the replica broke off or could not be reached.
func (l *Lease) MarkFailed() {
	now := l.set.timer.Now()
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.outcome.Failed = true
	l.replica.pace.RecordFailed(now)
	l.replica.streak++
	l.replica.addFailures(now, 1)
}

// markRefused records that the replica refused a request of another node.
func (l *Lease) markRefused() {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.replica.pace.RecordRefused(l.set.timer.Now())
}

// MarkLateProbe records that the request was a probe that was not answered in its time.
func (l *Lease) MarkLateProbe() {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	if l.sent != nil {
		l.sent.Late(l.set.timer.Now())
	}
}

// MarkLeaving records that the replica announced that it is leaving, so that it gets no new requests until it has restarted.
// news is false if this node knew that already.
func (l *Lease) MarkLeaving() (news bool) {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.outcome.Leaving = true
	return l.set.markLeaving(l.replica)
}

// MarkMisdirected records that another replica has taken over the address; this one is not used again.
func (l *Lease) MarkMisdirected() {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.outcome.Misdirected = true
	l.replica.misdirected = true
}
