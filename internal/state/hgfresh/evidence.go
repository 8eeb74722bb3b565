package hgfresh

import (
	"sync"
	"time"
)

const (
	// driftShare is the part of the bound that is kept as a margin, one in driftShare. It covers clocks that run at different
	// rates, of which each peer in a chain adds one; a virtual machine's clock is usually off by less than one in a thousand.
	driftShare = 50
	// answerShare is the part of the limit, one in answerShare, that the store's next answer and the pause after it may take
	// beyond the hold of the poll.
	answerShare = 4
	// peerShare is the part of the limit, one in peerShare, up to which the evidence of peers replaces polls of the store. The
	// rest is enough for a poll that begins when peers fall silent.
	peerShare = 2
)

// Claim is a node's own evidence as it tells it to a peer. The zero value claims nothing.
type Claim struct {
	// Version is the version of the row that is in force at the node; 0 if there is none.
	Version uint64
	// Age is the age of the node's evidence for Version when the claim was made; Known says that it has any.
	Age   time.Duration
	Known bool
}

// Evidence holds what proves that the row in force at this node was the newest at some time. It is for VMs that are cut off from
// the store, frozen or restarted, and is safe for concurrent use. Its clock must go on while the VM is suspended.
type Evidence struct {
	clock func() time.Duration
	limit time.Duration

	mu sync.Mutex
	// applied is the version of the row that is in force; 0 if there is none.
	applied uint64
	// store and peers are the latest times for which the store and the peers have proven the row in force.
	store, peers proof
}

// proof is a time on the clock at which the row in force was the newest.
type proof struct {
	at    time.Duration
	known bool
}

// age returns the age of a proof; ok is false if there is none. One that seems to lie ahead, after a clock that went back, is none.
func (p proof) age(now time.Duration) (age time.Duration, ok bool) {
	return now - p.at, p.known && p.at <= now
}

// advance replaces the proof by a later one.
func (p *proof) advance(at, now time.Duration) {
	if age, ok := p.age(now); at <= now && (!ok || now-at < age) {
		*p = proof{at: at, known: true}
	}
}

// NewEvidence returns the evidence of a node that has just started and has none. A key must not be served later than revoke after
// the store acknowledged its removal.
func NewEvidence(clock func() time.Duration, revoke time.Duration) *Evidence {
	return &Evidence{clock: clock, limit: revoke - revoke/driftShare}
}

// Now returns the time on the clock, for questions that are about to be sent.
func (e *Evidence) Now() time.Duration { return e.clock() }

// Limit returns the age from which evidence no longer counts.
func (e *Evidence) Limit() time.Duration { return e.limit }

// Applied records that a version of the row is in force.
func (e *Evidence) Applied(version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applied = max(e.applied, version)
}

// HandleAnswer records that the store answered a question that was sent at a time on the clock: the newest row had this version.
// It proves nothing unless that version or a newer one is in force, as the node may be unable to decode it.
func (e *Evidence) HandleAnswer(version uint64, sent time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version > 0 && version <= e.applied {
		e.store.advance(sent, e.clock())
	}
}

// HandleReply records the claim in a peer's reply to a heartbeat that was sent at a time on the clock. The reply was made later,
// so the peer's evidence is at most as old as it says, plus the time since the heartbeat was sent.
func (e *Evidence) HandleReply(c Claim, sent time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Known && c.Age >= 0 && c.Version > 0 && c.Version <= e.applied {
		e.peers.advance(sent-c.Age, e.clock())
	}
}

// age returns the age of the latest proof; e.mu is held.
func (e *Evidence) age(now time.Duration) (age time.Duration, ok bool) {
	store, byStore := e.store.age(now)
	peers, byPeers := e.peers.age(now)
	switch {
	case byStore && byPeers:
		return min(store, peers), true
	case byPeers:
		return peers, true
	}
	return store, byStore
}

// Age returns the time since the row in force was last proven to be the newest; ok is false if it never was.
func (e *Evidence) Age() (age time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.age(e.clock())
}

// Fresh reports whether keys may be served: whether the row in force was the newest less than the limit ago.
func (e *Evidence) Fresh() bool {
	age, ok := e.Age()
	return ok && age < e.limit
}

// Claim returns the evidence to tell to a peer that asks now.
func (e *Evidence) Claim() (c Claim) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.Version = e.applied
	c.Age, c.Known = e.age(e.clock())
	return c
}

// PeersSuffice reports whether the evidence of peers is recent enough to let the store hold a poll for longer than Hold.
func (e *Evidence) PeersSuffice() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	age, ok := e.peers.age(e.clock())
	return ok && age < e.limit/peerShare
}

// Hold returns how long the store may hold a poll that is sent now, so that its answer comes before the evidence is too old. Two polls
// in a row fit into the limit, as evidence counts from when its question was sent.
func (e *Evidence) Hold() time.Duration {
	age, ok := e.Age()
	if !ok {
		return 0
	}
	reserve := e.limit / answerShare
	return max(min(e.limit/2-reserve, e.limit-age-reserve), 0)
}
