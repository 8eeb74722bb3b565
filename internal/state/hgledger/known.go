package hgledger

import (
	"sync"
	"time"
)

// seen remembers which programs have been served nearby, to tell new ones from others while the store cannot.
type seen struct {
	mu sync.Mutex
	// at is when a program was last heard of, by the digest of its name; own marks those opened at this ledger.
	at map[uint64]time.Duration
	// fresh are those opened at this ledger since they were last taken for the peers.
	fresh []uint64
	// complete says that all programs of the retention time are known.
	complete bool
}

// Seen returns the programs opened at this ledger since the last call, for its peers.
func (l *Ledger) Seen() (fresh []uint64) {
	l.seen.mu.Lock()
	defer l.seen.mu.Unlock()
	fresh, l.seen.fresh = l.seen.fresh, nil
	return fresh
}

// AllSeen returns all programs that are known, and whether that is all there are.
func (l *Ledger) AllSeen() (programs []uint64, complete bool) {
	l.seen.mu.Lock()
	defer l.seen.mu.Unlock()
	for p := range l.seen.at {
		programs = append(programs, p)
	}
	return programs, l.seen.complete
}

// Learn takes over programs that a peer has served.
func (l *Ledger) Learn(programs []uint64, complete bool) {
	now := l.timer.Now()
	l.seen.mu.Lock()
	defer l.seen.mu.Unlock()
	for _, p := range programs {
		l.seen.at[p] = now
	}
	l.seen.complete = l.seen.complete || complete
}

// note remembers a program that is opened here.
func (s *seen) note(program string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := hash(program)
	if _, ok := s.at[digest]; !ok {
		s.fresh = append(s.fresh, digest)
	}
	s.at[digest] = now
}

// isNew says whether nobody nearby has served a program.
func (s *seen) isNew(program string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.at[hash(program)]
	return s.complete && !ok
}

// knows says whether the program was heard of.
func (s *seen) knows(program string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.at[hash(program)]
	return ok
}

// forget drops programs that were last heard of before a time.
func (s *seen) forget(before time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p, at := range s.at {
		if at < before {
			delete(s.at, p)
		}
	}
}
