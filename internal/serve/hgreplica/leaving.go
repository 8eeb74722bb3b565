package hgreplica

import (
	"maps"
	"time"
)

const (
	// announcementTTL is how long the announcement of a replica that it is leaving is remembered at least, so that it still
	// holds when its registration is gone for a while and then listed again.
	announcementTTL = 10 * time.Minute
	// maxAnnouncements is the number of remembered announcements from which those older than announcementTTL are dropped.
	maxAnnouncements = 1000
)

// Incarnation identifies one incarnation of a replica: ID is its identifier, and Born the start of its process. Incarnations
// with an empty Born cannot be told apart.
type Incarnation struct{ ID, Born string }

// isLeaving reports whether the replica takes no new requests, by its registration or by its own announcement.
func (r *replica) isLeaving() bool { return r.Leaving || r.announcedLeaving }

// markLeaving records that a replica announced that it is leaving, and reports whether that is news. The announcement holds
// until the replica has restarted, whatever its registration says. s.mu is held.
func (s *Set) markLeaving(r *replica) (news bool) {
	if r.announcedLeaving {
		return false
	}
	r.announcedLeaving = true
	if r.Born == "" {
		return true
	}
	now := s.timer.Now()
	if len(s.announced) >= maxAnnouncements {
		maps.DeleteFunc(s.announced, func(_ Incarnation, at time.Duration) bool { return now-at > announcementTTL })
	}
	s.announced[Incarnation{r.ID, r.Born}] = now
	return true
}

// hasAnnouncedLeaving reports whether the incarnation of a registration has announced that it is leaving; s.mu is held.
func (s *Set) hasAnnouncedLeaving(e Registration) bool {
	_, ok := s.announced[Incarnation{e.ID, e.Born}]
	return ok
}

// LeavingIncarnations returns the incarnations of registered replicas that announced to this node or to a peer that they are
// leaving, unless their registrations say so as well.
func (s *Set) LeavingIncarnations() (incarnations []Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.announced {
		if r, ok := s.replicas[i.ID]; ok && r.Born == i.Born && !r.Leaving {
			incarnations = append(incarnations, i)
		}
	}
	return incarnations
}

// MergeLeaving merges the incarnations that a peer knows to be leaving; those that are not registered here are ignored.
func (s *Set) MergeLeaving(incarnations []Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range incarnations {
		if r, ok := s.replicas[i.ID]; ok && r.Born == i.Born && i.Born != "" {
			s.markLeaving(r)
		}
	}
}
