package hgquarantine

import "time"

// Holder is a copy of a request that a run of a node executes.
type Holder struct {
	Node    string
	Run     string
	Request string
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
	running map[string]run
	// proven and older are two generations of requests that need no turn.
	proven map[string]bool
	older  map[string]bool
}

// NewTurns returns turns without any copy.
func NewTurns() *Turns {
	return &Turns{running: map[string]run{}, proven: map[string]bool{}}
}

// Proven tells whether a copy of the request has run without harm.
func (t *Turns) Proven(digest string) bool { return t.proven[digest] || t.older[digest] }

// Enter tells whether a copy may run now. It may when the request is proven, or when no other copy has entered
// less than exclusiveFor ago and not left.
func (t *Turns) Enter(digest string, h Holder, now time.Duration) (ok bool) {
	if t.Proven(digest) {
		return true
	}
	r, busy := t.running[digest]
	if busy && r.holder != h && now-r.since < exclusiveFor {
		return false
	}
	t.running[digest] = run{holder: h, since: now}
	return true
}

// Leave ends a copy's turn; proven tells that it has run without harm.
func (t *Turns) Leave(digest string, h Holder, proven bool) {
	if t.running[digest].holder == h {
		delete(t.running, digest)
	}
	if !proven || t.Proven(digest) {
		return
	}
	if len(t.proven) >= maxProven {
		t.older = t.proven
		t.proven = map[string]bool{}
	}
	t.proven[digest] = true
}

// Refute forgets that a request was proven: an endpoint died under it.
func (t *Turns) Refute(digest string) {
	delete(t.proven, digest)
	delete(t.older, digest)
}

// Tick forgets the copies that have entered too long ago to keep others out.
func (t *Turns) Tick(now time.Duration) {
	for digest, r := range t.running {
		if now-r.since >= exclusiveFor {
			delete(t.running, digest)
		}
	}
}
