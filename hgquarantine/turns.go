package hgquarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key is a hash of a request's digest.
type Key uint64

// Holder is a hash that identifies one copy of a request.
type Holder uint64

// KeyOf returns the key of a digest.
func KeyOf(digest string) Key { return Key(xxhash.Sum64String(digest)) }

// HolderOf returns the holder for the copy of a program's request that one run of a node executes.
func HolderOf(run, program, request string) Holder {
	return Holder(xxhash.Sum64String(run + " " + program + " " + request))
}

// exclusiveFor is the time after which the next copy of a request may run although the previous one has neither ended nor
// proven the request.
const exclusiveFor = 2 * time.Second

// maxProven is the greatest number of proven requests in one generation.
const maxProven = 8192

// run is the copy of a request that is running, and the time at which it entered.
type run struct {
	holder Holder
	since  time.Duration
}

// Serializer serializes the copies of a request until one of them has proven harmless. Otherwise copies of a crashing request
// that are sent at the same time would each crash an endpoint. It has no locks; the caller serializes access.
type Serializer struct {
	running map[Key]run
	// proven and older are two generations of requests whose copies may run concurrently. When proven is full, it replaces
	// older, which bounds the memory.
	proven map[Key]bool
	older  map[Key]bool
}

// NewSerializer returns a Serializer without running copies or proven requests.
func NewSerializer() *Serializer {
	return &Serializer{running: map[Key]run{}, proven: map[Key]bool{}}
}

// Proven reports whether a copy of the request has run without crashing its endpoint.
func (t *Serializer) Proven(k Key) bool { return t.proven[k] || t.older[k] }

// Enter reports whether a copy may run now, and records it as running. It may run if the request is proven, or if no other
// copy that entered less than exclusiveFor ago is still running.
func (t *Serializer) Enter(k Key, h Holder, now time.Duration) (ok bool) {
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

// Leave records that a copy no longer excludes others; proven means that its endpoint has not crashed.
func (t *Serializer) Leave(k Key, h Holder, proven bool) {
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

// Refute removes a request from the proven ones, after an endpoint died while it ran the request.
func (t *Serializer) Refute(k Key) {
	delete(t.proven, k)
	delete(t.older, k)
}

// Tick drops the copies that entered at least exclusiveFor ago, because they no longer exclude others.
func (t *Serializer) Tick(now time.Duration) {
	for k, r := range t.running {
		if now-r.since >= exclusiveFor {
			delete(t.running, k)
		}
	}
}
