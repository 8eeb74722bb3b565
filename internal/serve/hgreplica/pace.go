package hgreplica

import (
	"time"

	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgpace"
)

// maxOutcomeTime bounds the times in the outcomes of other nodes; no request runs for longer.
const maxOutcomeTime = time.Hour

// SetSite sets what the nodes need to agree on who sends first: this node, the live nodes, those of its failure domain and the
// failure domains with live nodes, all with its own, and the difference between the wall clock and the timer.
func (s *Set) SetSite(self string, site, peers, domains []string, wall time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace.SetSite(self, s.domain, site, peers, domains, wall)
}

// News returns what this node tells its peers of overdue replicas.
func (s *Set) News() hgpace.News {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace.News(s.timer.Now())
}

// SetNews replaces what the peers state about overdue replicas.
func (s *Set) SetNews(n hgpace.News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace.SetNews(s.timer.Now(), n)
}

// Review updates which replicas are suspected of hanging and returns the changes.
func (s *Set) Review() []hgpace.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace.Review(s.timer.Now())
}

// probe returns a suspected replica that is to get the request as a probe; nil if there is none. s.mu is held.
func (s *Set) probe(w Want, now time.Duration) *replica {
	if !w.Repeatable {
		return nil
	}
	for _, r := range s.byService[w.Service] {
		if !r.pace.IsSuspected() || !r.isUsable(w, now) || !s.pace.MayProbe(r.pace, w.Window > 0, now) {
			continue
		}
		// The other replica needs as much time as the probe may take.
		isFull := w.Window > 0 && float64(r.inFlight+r.othersInFlight(now)) >= w.Window*float64(r.Slots)
		if !isFull && w.Left >= 2*r.pace.ProbeLimit(now) && s.hasOther(w, r, now) {
			return r
		}
	}
	return nil
}

// hasOther reports whether the request has another replica to go to that is not suspected; s.mu is held.
func (s *Set) hasOther(w Want, probed *replica, now time.Duration) bool {
	for _, r := range s.byService[w.Service] {
		if r != probed && r.isUsable(w, now) && !r.pace.IsSuspected() {
			return true
		}
	}
	return false
}

// avoided returns the replicas that the request does not go to although they are usable: those that are suspected of hanging, as
// long as there are others, and of the others those that are at their limit, as long as one is below. It is nil on services
// without a limit or a verdict. s.mu is held.
func (s *Set) avoided(w Want, now time.Duration) (avoided map[*replica]bool) {
	var suspected, full []*replica
	hasOther, hasRoom := false, false
	for _, r := range s.byService[w.Service] {
		all := r.inFlight + r.othersInFlight(now)
		switch {
		case !r.isUsable(w, now):
		case r.pace.IsSuspected():
			suspected = append(suspected, r)
		case !s.pace.HasRoom(r.pace, r.inFlight, all, w.Window > 0, now):
			full, hasOther = append(full, r), true
		default:
			hasOther = true
			hasRoom = hasRoom || w.Window == 0 || float64(all) < w.Window*float64(r.Slots)
		}
	}
	if len(suspected) == 0 && len(full) == 0 {
		return nil
	}
	avoided = map[*replica]bool{}
	for _, r := range suspected {
		avoided[r] = hasOther
	}
	for _, r := range full {
		avoided[r] = hasRoom
	}
	return avoided
}

// MarkSent records that the request is about to be sent to the replica.
func (l *Lease) MarkSent() {
	now := l.set.timer.Now()
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.sent = l.replica.pace.Begin(now)
}

// observe records an answer whose first byte came at the given age, after took; l.set.mu is held.
func (l *Lease) observe(a hgattempt.Answer, now, took, age time.Duration) {
	r := l.replica.pace
	took, age = min(max(took, 0), maxOutcomeTime), min(max(age, 0), maxOutcomeTime)
	if a.Slowness > 0 {
		r.ObserveSlowness(a.Slowness, now-age)
		l.outcome.Slowness = a.Slowness
	}
	switch {
	case a.Failed && l.sent != nil:
		// A replica that hangs may still fail its requests at the end of their time. That is no sign of life.
		l.sent.Ended(now)
	case a.Failed:
	case l.sent != nil:
		l.sent.Answered(now)
	default:
		r.Answered(now-age, took)
	}
	switch {
	case a.NotRun:
		l.outcome.Refused = true
		r.RecordRefused(now)
	case a.Failed:
		r.RecordFailed(now)
	default:
		r.RecordTook(now, took)
	}
}
