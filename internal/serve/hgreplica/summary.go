package hgreplica

import "time"

// Summary describes a replica for operators.
type Summary struct {
	ID      string
	Service string
	Domain  string
	// Out says why the replica gets no requests; empty if it does.
	Out string
	// InFlight is the number of requests that this node placed there.
	InFlight int
	// Failures is the number of failures, decayed to the time of the summary.
	Failures float64
	// Delay is the average time to the first byte.
	Delay time.Duration
	// Suspected says that the replica is suspected of hanging, so that it gets only probes; Out is empty nevertheless.
	Suspected bool
	// Slowness is how long work is expected to take there now, and UsualSlowness apart from spells, both as multiples of the usual;
	// UsualSlowness is 0 if the replica has not reported it.
	Slowness, UsualSlowness float64
	// Limit is the limit of requests in flight there of all nodes, and LimitReason why there is one; empty if there is none.
	Limit       int
	LimitReason string
}

// Summaries returns a summary of each replica, in no particular order.
func (s *Set) Summaries() (all []Summary) {
	now := s.timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicas {
		limit, reason := r.pace.Limit()
		all = append(all, Summary{
			ID: r.ID, Service: r.Service, Domain: r.Domain, Out: r.unusableReason(now), InFlight: r.inFlight,
			Failures: r.recentFailures(now), Delay: time.Duration(r.delay), Suspected: r.pace.IsSuspected(),
			Slowness: r.pace.Slowness(now), UsualSlowness: r.pace.UsualSlowness(), Limit: limit, LimitReason: reason,
		})
	}
	return all
}

// unusableReason says why the replica gets no requests; it is empty if the replica gets some.
func (r *replica) unusableReason(now time.Duration) string {
	switch {
	case r.Leaving:
		return "leaving"
	case r.announcedLeaving:
		return "leaving, as it says itself"
	case r.misdirected:
		return "another replica has its address"
	case r.lapsesAt > 0 && now >= r.lapsesAt:
		return "not registered"
	}
	return ""
}
