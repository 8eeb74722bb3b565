package hgreplica

import (
	"maps"
	"time"
)

const (
	// leftFor is how long it is remembered that a run of a replica leaves, when its registration is gone.
	leftFor = 10 * time.Minute
	// maxLeft bounds what is remembered; beyond it only what is younger than leftFor stays.
	maxLeft = 1000
)

// Lifetime is one run of a replica's process; without a time of birth runs cannot be told apart.
type Lifetime struct{ ID, Born string }

// leaves says whether the replica takes no new requests, by its registration or by what it says itself.
func (r *replica) leaves() bool { return r.Leaving || r.saidLeaving }

// noteLeaving takes a replica's word that it leaves, which holds until it has started again whatever its registration
// says, and returns whether that is news; s.mu is held.
func (s *Set) noteLeaving(r *replica) (news bool) {
	if r.saidLeaving {
		return false
	}
	r.saidLeaving = true
	if r.Born == "" {
		return true
	}
	now := s.timer.Now()
	if len(s.left) >= maxLeft {
		maps.DeleteFunc(s.left, func(_ Lifetime, at time.Duration) bool { return now-at > leftFor })
	}
	s.left[Lifetime{r.ID, r.Born}] = now
	return true
}

// hasLeft says whether the run of a registration has said that it leaves; s.mu is held.
func (s *Set) hasLeft(e Entry) bool {
	_, ok := s.left[Lifetime{e.ID, e.Born}]
	return ok
}

// SaidLeaving returns the runs of listed replicas that have told that they leave, to this node or to a peer.
func (s *Set) SaidLeaving() (runs []Lifetime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for at := range s.left {
		if r, ok := s.replicas[at.ID]; ok && r.Born == at.Born && !r.Leaving {
			runs = append(runs, at)
		}
	}
	return runs
}

// HearLeaving takes over what a peer was told of replicas that leave; those that are not listed here are passed over.
func (s *Set) HearLeaving(runs []Lifetime) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range runs {
		if r, ok := s.replicas[at.ID]; ok && r.Born == at.Born && at.Born != "" {
			s.noteLeaving(r)
		}
	}
}
