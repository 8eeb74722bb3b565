package hgledger

import (
	"sync"
	"time"
)

// knownPrograms holds the programs that this ledger and the peers that report to it have served, to recognize new
// programs while the store is unreachable. It identifies programs by the hashes of their identifiers.
type knownPrograms struct {
	mu sync.Mutex
	// lastSeen maps programs to the time of the last report on them.
	lastSeen map[uint64]time.Duration
	// unreported lists the programs that add has added since the last call of TakeNewPrograms.
	unreported []uint64
	// complete is set if all programs within the retention time are known.
	complete bool
}

// TakeNewPrograms returns the programs that became known since the last call because this ledger reserved tokens of their
// budgets or received a copy of a claim on them. The node sends them to its peers.
func (l *Ledger) TakeNewPrograms() (programs []uint64) {
	l.known.mu.Lock()
	defer l.known.mu.Unlock()
	programs, l.known.unreported = l.known.unreported, nil
	return programs
}

// KnownPrograms returns all known programs, and whether these are all programs within the retention time.
func (l *Ledger) KnownPrograms() (programs []uint64, complete bool) {
	l.known.mu.Lock()
	defer l.known.mu.Unlock()
	for p := range l.known.lastSeen {
		programs = append(programs, p)
	}
	return programs, l.known.complete
}

// AddKnownPrograms adds programs that a peer reports or whose budgets may be exceeded; complete tells whether the peer knows all programs within the retention
// time.
func (l *Ledger) AddKnownPrograms(programs []uint64, complete bool) {
	now := l.timer.Now()
	l.known.mu.Lock()
	defer l.known.mu.Unlock()
	for _, p := range programs {
		l.known.lastSeen[p] = now
	}
	l.known.complete = l.known.complete || complete
}

// add records that this ledger serves a program or holds a copy of a claim on its budget.
func (k *knownPrograms) add(program string, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	digest := hash(program)
	if _, ok := k.lastSeen[digest]; !ok {
		k.unreported = append(k.unreported, digest)
	}
	k.lastSeen[digest] = now
}

// isNew reports whether a program has certainly not been served before: all programs are known and it is not among
// them.
func (k *knownPrograms) isNew(program string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.lastSeen[hash(program)]
	return k.complete && !ok
}

// contains reports whether the program is known.
func (k *knownPrograms) contains(program string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.lastSeen[hash(program)]
	return ok
}

// evict removes programs that were last reported before a time.
func (k *knownPrograms) evict(before time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p, seen := range k.lastSeen {
		if seen < before {
			delete(k.lastSeen, p)
		}
	}
}
