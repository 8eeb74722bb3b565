package hgreplica

import (
	"net/http"
	"sync"
	"time"

	"hyssopgrade/internal/serve/hgattempt"
)

// Lease is a place of a request on a replica; Release ends it.
type Lease struct {
	ID      string
	Address string
	Client  *http.Client
	// FetchFrom is the address of the replica from which kept parts of the prompt are to be fetched; empty if from none.
	FetchFrom string
	// Why says what decided for the replica.
	Why     Why
	set     *Set
	replica *replica
	once    sync.Once
	// answered is when the first byte came; 0 if none did.
	answered time.Duration
	// outcome is what was seen of the replica, and released is called with it at the end.
	outcome  Outcome
	released func(o Outcome)
	// placed says that another node counts the request.
	placed bool
}

// Outcome is what the holder of a lease has seen of the replica.
type Outcome struct {
	// Answered says that the replica answered and ran the request, Took is the time to its first byte and Held what came
	// after it.
	Answered   bool
	Took, Held time.Duration
	// Errored says that the replica answered that it failed; Failed and Misdirected are as the methods of Lease.
	Errored, Failed, Misdirected bool
	// Leaving says that the replica told that it leaves.
	Leaving bool
}

// Adopt returns a lease of a place that another node has given; it counts the request, and released tells it the end.
func (s *Set) Adopt(id, fetchFrom string, why Why, released func(o Outcome)) (l *Lease, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.replicas[id]
	if !ok || r.leaves() || r.misdirected {
		return nil, false
	}
	return &Lease{
		ID: id, Address: r.Address, Client: r.client, FetchFrom: fetchFrom, Why: why, set: s, replica: r, released: released, placed: true,
	}, true
}

// HasEnded says whether the replica has ended or started again since the lease was given.
func (l *Lease) HasEnded() bool {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	return l.set.replicas[l.ID] != l.replica
}

// OnRelease sets what is called when the lease ends, in the place of what was set before.
func (l *Lease) OnRelease(released func(o Outcome)) { l.released = released }

// Apply takes over what the holder of the place has seen, and releases it.
func (l *Lease) Apply(o Outcome) {
	if o.Answered || o.Errored {
		l.Answered(hgattempt.Answer{Failed: o.Errored}, o.Took)
		l.answered = l.set.timer.Now() - o.Held
	}
	if o.Failed {
		l.Failed()
	}
	if o.Misdirected {
		l.Misdirected()
	}
	if o.Leaving {
		l.Leaves()
	}
	l.Release()
}

// Release ends the lease.
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
	if !l.placed {
		l.replica.inFlight--
	}
	if l.answered > 0 {
		l.outcome.Held = l.set.timer.Now() - l.answered
		l.set.observeHold(l.replica.Service, l.outcome.Held)
	}
}

// Answered tells of the head of an answer that took some time.
func (l *Lease) Answered(a hgattempt.Answer, took time.Duration) {
	now := l.set.timer.Now()
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	r := l.replica
	if a.KeepsIdle > 0 {
		l.set.keepIdle(r, a.KeepsIdle)
	}
	if a.HasLoad {
		r.others, r.othersAt = max(a.Running+a.Waiting-r.inFlight, 0), now
	}
	if a.NotRun {
		return
	}
	l.answered = now
	if a.Failed {
		// How fast it failed says nothing of how fast it answers.
		l.outcome.Errored = true
		r.errored(now)
		return
	}
	r.streak = 0
	l.outcome.Answered, l.outcome.Took = true, took
	if r.delay == 0 {
		r.delay = float64(took)
	}
	r.delay += observedWeight * (float64(took) - r.delay)
	r.delayAt = now
}

// Failed tells that the replica broke off or could not be reached.
func (l *Lease) Failed() {
	now := l.set.timer.Now()
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.outcome.Failed = true
	l.replica.streak++
	l.replica.failed(now, 1)
}

// Leaves tells that the replica said that it leaves, so that it gets no new requests until it has started again; news says
// that this was not known.
func (l *Lease) Leaves() (news bool) {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.outcome.Leaving = true
	return l.set.noteLeaving(l.replica)
}

// Misdirected tells that another replica has the address; this one is not used again.
func (l *Lease) Misdirected() {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.outcome.Misdirected = true
	l.replica.misdirected = true
}
