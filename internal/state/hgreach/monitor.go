package hgreach

import (
	"sync"
	"time"
)

// State says how a store answers.
type State string

// The states of a store. The values are logged.
const (
	// Reachable means that the store answers calls in the usual time.
	Reachable State = "reachable"
	// Slow means that the store takes long to answer, or that a call has waited for longer than usual, so that the store
	// may turn out to be unreachable.
	Slow State = "slow"
	// Unreachable means that the store has not answered any call for a while, or has not answered since the start.
	Unreachable State = "unreachable"
)

const (
	// slowAfter is the wait for an answer, or the average latency, from which the store counts as slow.
	slowAfter = 50 * time.Millisecond
	// unreachableAfter is how long calls may stay without an answer, or fail, until the store counts as unreachable. A slow
	// store takes 240 to 360 ms to answer.
	unreachableAfter = 400 * time.Millisecond
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.2
)

// Monitor judges a store by the calls that are made to it. The times passed to its methods are readings of one monotonic
// clock. It is safe for concurrent use.
type Monitor struct {
	mu sync.Mutex
	// pending maps the calls in flight to the time from which the store should have answered them.
	pending map[Call]time.Duration
	last    Call
	// answered says that the store has answered a call, lastAnswer is when it last did, and failingSince is the start of the
	// first failed call since then, or 0.
	answered                 bool
	lastAnswer, failingSince time.Duration
	// latency is the moving average of the time to an answer.
	latency time.Duration
}

// Call identifies a call in flight.
type Call uint64

// Outcome is how a call ended.
type Outcome int

// The outcomes of calls.
const (
	// Answered means that the store answered, if only to say that a condition failed or that a row does not exist.
	Answered Outcome = iota
	// Failed means that the store refused the call, broke it off or did not answer in time.
	Failed
	// Canceled means that the caller gave up the call, which says nothing about the store.
	Canceled
)

// NewMonitor returns a Monitor of a store that has not answered yet.
func NewMonitor() *Monitor { return &Monitor{pending: map[Call]time.Duration{}} }

// Begin records the start of a call that the store may hold for a time before it answers.
func (m *Monitor) Begin(now, hold time.Duration) Call {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last++
	m.pending[m.last] = now + hold
	return m.last
}

// End records the end of a call.
func (m *Monitor) End(c Call, o Outcome, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	began, ok := m.pending[c]
	delete(m.pending, c)
	if !ok || o == Canceled {
		return
	}
	if o == Answered {
		if now >= began {
			m.latency += time.Duration(latencyWeight * float64(now-began-m.latency))
		}
		m.answered, m.lastAnswer, m.failingSince = true, now, 0
		return
	}
	if since := max(min(began, now), m.lastAnswer); m.failingSince == 0 || since < m.failingSince {
		m.failingSince = since
	}
}

// State returns the state of the store.
func (m *Monitor) State(now time.Duration) State {
	m.mu.Lock()
	defer m.mu.Unlock()
	silence := m.silence(now)
	switch {
	case !m.answered, silence >= unreachableAfter:
		return Unreachable
	case silence >= slowAfter, m.latency >= slowAfter:
		return Slow
	}
	return Reachable
}

// SinceAnswer returns the time since the store last answered, or since the start of the clock if it never has.
func (m *Monitor) SinceAnswer(now time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now - m.lastAnswer
}

// silence returns for how long calls have waited in vain or failed since the last answer; m.mu is held. A call that waits
// while others are answered is no silence of the store: its own answer may be lost.
func (m *Monitor) silence(now time.Duration) (silence time.Duration) {
	if m.failingSince > 0 {
		silence = now - m.failingSince
	}
	for _, due := range m.pending {
		silence = max(silence, now-max(due, m.lastAnswer))
	}
	return silence
}
