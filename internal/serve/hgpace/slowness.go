package hgpace

import (
	"math"
	"time"
)

const (
	// usualSlowness is the slowness in percent of a machine that has reported none.
	usualSlowness = 100
	// spellHalfLife is the time in which the excess of a report over the usual slowness of its machine halves. Spells last 600 ms.
	spellHalfLife = 600 * time.Millisecond
	// learnRate is by how many percent a second the usual slowness follows the reports. A spell of 600 ms moves it by 3, and a machine
	// that is slow by 130 for good is known after 6 s.
	learnRate = 5
	// maxLearnGap bounds the time for which one report counts.
	maxLearnGap = time.Second
)

// slowness estimates the slowness of a machine, in percent. The usual slowness follows the median of the reports rather than
// their mean, so that spells do not make a machine look slow for good.
type slowness struct {
	last  float64
	at    time.Duration
	usual float64
}

// observe records a report.
func (s *slowness) observe(percent int, at time.Duration) {
	if s.usual == 0 {
		s.usual = usualSlowness
		s.at = at
	}
	if at < s.at {
		return
	}
	step := learnRate * min(at-s.at, maxLearnGap).Seconds()
	s.usual += math.Copysign(min(step, math.Abs(float64(percent)-s.usual)), float64(percent)-s.usual)
	s.last, s.at = float64(percent), at
}

// expected returns the slowness that is expected now: the last report, which returns to the usual slowness with its age.
func (s *slowness) expected(now time.Duration) float64 {
	if s.usual == 0 {
		return usualSlowness
	}
	return s.usual + (s.last-s.usual)*math.Exp2(-float64(max(now-s.at, 0))/float64(spellHalfLife))
}

// ObserveSlowness records the slowness in percent that the replica reported at the given time.
func (r *Replica) ObserveSlowness(percent int, at time.Duration) {
	r.service.enabled = true
	r.slowness.observe(percent, at)
}

// Slowness returns how long work is expected to take on the replica now, as a multiple of the usual; 1 without any report.
func (r *Replica) Slowness(now time.Duration) float64 {
	return r.slowness.expected(now) / usualSlowness
}

// UsualSlowness returns the slowness of the replica apart from spells, as a multiple of the usual; 0 without any report.
func (r *Replica) UsualSlowness() float64 { return r.slowness.usual / usualSlowness }
