package hgquarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key is a hash of a request's digest.
type Key uint64

// Holder is a hash that names one copy of a request.
type Holder uint64

// KeyOf returns the key of a digest.
func KeyOf(digest string) Key { return Key(xxhash.Sum64String(digest)) }

// HolderOf returns the name of the copy that a run of a node executes for a request of a program.
func HolderOf(run, program, request string) Holder {
	return Holder(xxhash.Sum64String(run + " " + program + " " + request))
}

// exclusiveFor is the time after which a request that is neither proven nor ended lets the next copy run.
const exclusiveFor = 2 * time.Second

// maxProven bounds the proven requests of one generation.
const maxProven = 8192

type run struct {
	holder Holder
	since  time.Duration
}

// Turns lets the copies of a request run one after the other until one has proven harmless, so that copies which are sent
// at once do not take an endpoint each. It is a state machine without locks.
type Turns struct {
	running map[Key]run
	// proven and older are two generations of requests that need no turn.
	proven map[Key]bool
	older  map[Key]bool
}

// NewTurns returns turns without any copy.
func NewTurns() *Turns {
	return &Turns{running: map[Key]run{}, proven: map[Key]bool{}}
}

// Proven tells whether a copy of the request has run without harm.
func (t *Turns) Proven(k Key) bool { return t.proven[k] || t.older[k] }

// Enter tells whether a copy may run now. It may when the request is proven, or when no other copy has entered
// less than exclusiveFor ago and not left.
func (t *Turns) Enter(k Key, h Holder, now time.Duration) (ok bool) {
	if t.Proven(k) {
		return true
	}
	r, busy := t.running[k]
	if busy && r.holder != h && now-r.since < exclusiveFor {
		return false
	}
	t.running[k] = run{holder: h, since: now}
	return true
}

// Leave ends a copy's turn; proven tells that it has run without harm.
func (t *Turns) Leave(k Key, h Holder, proven bool) {
	if t.running[k].holder == h {
		delete(t.running, k)
	}
	if !proven || t.Proven(k) {
		return
	}
	if len(t.proven) >= maxProven {
		t.older = t.proven
		t.proven = map[Key]bool{}
	}
	t.proven[k] = true
}

// Refute forgets that a request was proven: an endpoint died under it.
func (t *Turns) Refute(k Key) {
	delete(t.proven, k)
	delete(t.older, k)
}

// Tick forgets the copies that have entered too long ago to keep others out.
func (t *Turns) Tick(now time.Duration) {
	for k, r := range t.running {
		if now-r.since >= exclusiveFor {
			delete(t.running, k)
		}
	}
}
