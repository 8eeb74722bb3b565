package hgretry

import (
	"math"
	"time"
)

// halfLife is the time after which a call counts half towards the budget.
const halfLife = 10 * time.Second

// burst is the number of retries that are allowed before any call was counted.
const burst = 3

// Budget allows retries up to a share of recent calls; it is a state machine without locks.
type Budget struct {
	share   float64
	calls   float64
	retries float64
	at      time.Duration
}

// NewBudget returns a budget of percent retries per hundred calls.
func NewBudget(percent int) *Budget { return &Budget{share: float64(percent) / 100} }

// SetPercent changes the share.
func (b *Budget) SetPercent(percent int) { b.share = float64(percent) / 100 }

// Called counts a call's first dispatch.
func (b *Budget) Called(now time.Duration) {
	b.decay(now)
	b.calls++
}

// Allow tells whether one more retry fits, and counts it if so.
func (b *Budget) Allow(now time.Duration) bool {
	b.decay(now)
	if b.share == 0 || b.retries+1 > b.share*b.calls+burst {
		return false
	}
	b.retries++
	return true
}

func (b *Budget) decay(now time.Duration) {
	if now <= b.at {
		return
	}
	f := math.Exp2(-float64(now-b.at) / float64(halfLife))
	b.calls *= f
	b.retries *= f
	b.at = now
}
