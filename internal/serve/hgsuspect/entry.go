package hgsuspect

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// maxKept bounds the breaks that an entry holds; more than decide are not needed.
	maxKept = 8
	// proofFor is how long a proof stands against breaks after it: the proofs of callers that share a request reach all VMs
	// within that time.
	proofFor = 2 * time.Second
)

// lostRun is a run of a request under which its replica broke off.
type lostRun struct {
	// id names the break among all.
	id uint64
	at time.Duration
	// excused says that its service was failing, so that the break is not held against the request.
	excused bool
}

// proof is the last run of a request that came to its end. Of two the one with the greater number counts, and of those with
// the same number the one with the greater id, so that all lists agree on one whatever their clocks say.
type proof struct {
	// seq is 0 if there was none.
	seq, id uint64
	at      time.Duration
}

func (p proof) isNewer(o proof) bool { return p.seq > o.seq || p.seq == o.seq && p.id > o.id }

// entry is what is known of a request. Merging two in any order, also again, gives the same.
type entry struct {
	// breaks are the newest ones, the oldest first.
	breaks []lostRun
	proof  proof
	// at is the time of the last change and number its number; own is the number of the last one made at this list itself.
	at          time.Duration
	number, own uint64
	// saved is the fingerprint as of which the entry is known to be durable.
	saved uint64
}

func (e *entry) addBreak(b lostRun) {
	if slices.ContainsFunc(e.breaks, func(have lostRun) bool { return have.id == b.id }) {
		return
	}
	at, _ := slices.BinarySearchFunc(e.breaks, b, func(have, b lostRun) int { return int(have.at - b.at) })
	e.breaks = slices.Insert(e.breaks, at, b)
	if len(e.breaks) > maxKept {
		e.breaks = slices.Delete(e.breaks, 0, 1)
	}
}

// all returns the number of breaks since the last proof, the excused ones included.
func (e *entry) all(now time.Duration) int { return len(e.since(now)) }

// count returns the number of breaks since the last proof that are held against the request.
func (e *entry) count(now time.Duration) int {
	return lo.CountBy(e.since(now), func(b lostRun) bool { return !b.excused })
}

// since returns the breaks since the last proof.
func (e *entry) since(now time.Duration) []lostRun {
	return lo.Filter(e.breaks, func(b lostRun, _ int) bool { return now-b.at <= keepFor && (e.proof.seq == 0 || b.at > e.proof.at) })
}

// left returns how much longer the request is refused.
func (e *entry) left(now time.Duration) time.Duration {
	n := e.count(now)
	if n < maxBreaks || e.proof.seq > 0 && now-e.proof.at < proofFor {
		return 0
	}
	return refusals[min(n-maxBreaks, len(refusals)-1)] - (now - e.breaks[len(e.breaks)-1].at)
}

// print returns a fingerprint of what the entry says of a request; 0 if it says nothing.
func (e *entry) print(digest uint64) uint64 {
	if len(e.breaks) == 0 && e.proof.seq == 0 {
		return 0
	}
	ids := []uint64{digest, e.proof.seq, e.proof.id}
	for _, b := range e.breaks {
		ids = append(ids, b.id)
	}
	slices.Sort(ids[3:])
	var raw []byte
	for _, id := range ids {
		raw = binary.LittleEndian.AppendUint64(raw, id)
	}
	return xxhash.Sum64(raw)
}
