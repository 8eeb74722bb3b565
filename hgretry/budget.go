package hgretry

import (
	"math"
	"time"
)

// halfLife is the time after which calls and retries count half.
const halfLife = 10 * time.Second

// burst is the number of retries that are allowed beyond the share, also before any call was counted.
const burst = 3

// Budget allows retries up to a share of recent calls. It has no locks; the caller serializes access.
type Budget struct {
	share float64
	// calls and retries are counts that decay with halfLife since lastDecay.
	calls     float64
	retries   float64
	lastDecay time.Duration
}

// NewBudget returns a Budget that allows percent retries per hundred calls; 0 allows none.
func NewBudget(percent int) *Budget { return &Budget{share: float64(percent) / 100} }

// SetPercent sets the number of retries allowed per hundred calls; 0 allows none.
func (b *Budget) SetPercent(percent int) { b.share = float64(percent) / 100 }

// Called counts a call towards the budget. Each call is counted once, however often it is retried.
func (b *Budget) Called(now time.Duration) {
	b.decay(now)
	b.calls++
}

// Allow reports whether a retry is within the budget, and counts it if so.
func (b *Budget) Allow(now time.Duration) bool {
	b.decay(now)
	if b.share == 0 || b.retries+1 > b.share*b.calls+burst {
		return false
	}
	b.retries++
	return true
}

func (b *Budget) decay(now time.Duration) {
	if now <= b.lastDecay {
		return
	}
	f := math.Exp2(-float64(now-b.lastDecay) / float64(halfLife))
	b.calls *= f
	b.retries *= f
	b.lastDecay = now
}
