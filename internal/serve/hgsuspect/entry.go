package hgsuspect

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// maxCrashesKept bounds the crashes that an entry holds; further ones would not change any decision.
	maxCrashesKept = 8
	// proofGrace is how long after a proof a request is not refused, whatever crashes follow. When several callers send the
	// same request, their proofs reach all VMs within that time.
	proofGrace = 2 * time.Second
)

// crash is a suspected crash of a replica while it ran a request.
type crash struct {
	// id identifies the crash across all lists: the end of a replica, or a random number if the replica is not known.
	id uint64
	at time.Duration
	// excused says that the service was failing at the time, so that the crash does not count against the request.
	excused bool
}

// proof is the last completed run of a request, which proves that the request does not crash replicas. Of two proofs the one
// with the greater seq wins, and with equal seq the one with the greater id, so that all lists agree on one even if their
// clocks differ.
type proof struct {
	// seq is 0 if no run was completed.
	seq, id uint64
	at      time.Duration
}

func (p proof) isNewer(o proof) bool { return p.seq > o.seq || p.seq == o.seq && p.id > o.id }

// entry holds the crashes and the proof of a request. Merging entries is commutative and idempotent.
type entry struct {
	// crashes are the newest ones, ordered from oldest to newest.
	crashes []crash
	proof   proof
	// changedAt is the time of the last change and changeNumber its number; localNumber is the number of the last change that
	// did not come from a peer or the store.
	changedAt                 time.Duration
	changeNumber, localNumber uint64
	// broken is the number of runs that broke off at this VM, each within brokenMaxAge of the one before and without a completed
	// one between them; brokenAt is the time of the last.
	broken   int
	brokenAt time.Duration
	// savedFingerprint is the fingerprint of the entry as it was last stored; 0 if it never was.
	savedFingerprint uint64
}

// addCrash inserts a crash in the order of time, unless the entry has it already. A crash is excused only if all VMs that recorded
// it excused it.
func (e *entry) addCrash(c crash) {
	if i := slices.IndexFunc(e.crashes, func(have crash) bool { return have.id == c.id }); i >= 0 {
		e.crashes[i].excused = e.crashes[i].excused && c.excused
		return
	}
	i, _ := slices.BinarySearchFunc(e.crashes, c, func(have, c crash) int { return int(have.at - c.at) })
	e.crashes = slices.Insert(e.crashes, i, c)
	if len(e.crashes) > maxCrashesKept {
		e.crashes = slices.Delete(e.crashes, 0, 1)
	}
}

// countBroken counts a run that broke off at this VM.
func (e *entry) countBroken(now time.Duration) {
	if now-e.brokenAt >= brokenMaxAge {
		e.broken = 0
	}
	e.broken, e.brokenAt = e.broken+1, now
}

// allCrashes returns the number of crashes since the proof, including excused ones.
func (e *entry) allCrashes(now time.Duration) int { return len(e.crashesSinceProof(now)) }

// countedCrashes returns the number of crashes since the proof, without excused ones.
func (e *entry) countedCrashes(now time.Duration) int { return len(e.crashesCounted(now)) }

func (e *entry) crashesCounted(now time.Duration) []crash {
	return lo.Reject(e.crashesSinceProof(now), func(c crash, _ int) bool { return c.excused })
}

// crashesSinceProof returns the crashes after the proof and within the retention time.
func (e *entry) crashesSinceProof(now time.Duration) []crash {
	return lo.Filter(e.crashes, func(c crash, _ int) bool { return now-c.at <= retention && (e.proof.seq == 0 || c.at > e.proof.at) })
}

// refusedFor returns how much longer the request is refused; 0 or less if it is not.
func (e *entry) refusedFor(now time.Duration) time.Duration {
	n := e.countedCrashes(now)
	if n < maxCrashes || e.proof.seq > 0 && now-e.proof.at < proofGrace {
		return 0
	}
	return refusalTimes[min(n-maxCrashes, len(refusalTimes)-1)] - (now - e.crashes[len(e.crashes)-1].at)
}

// fingerprint returns a hash of digest, proof and crashes; 0 for an empty entry. Times are left out, as they differ between VMs.
func (e *entry) fingerprint(digest uint64) uint64 {
	if len(e.crashes) == 0 && e.proof.seq == 0 {
		return 0
	}
	ids := []uint64{digest, e.proof.seq, e.proof.id}
	for _, c := range e.crashes {
		ids = append(ids, lo.Ternary(c.excused, ^c.id, c.id))
	}
	slices.Sort(ids[3:])
	var raw []byte
	for _, id := range ids {
		raw = binary.LittleEndian.AppendUint64(raw, id)
	}
	return xxhash.Sum64(raw)
}
