package hgpace_test

import (
	"math"
	"testing"
	"time"

	"hyssopgrade/internal/serve/hgpace"
)

// A spell must count at once and be forgotten soon, and only a machine that is slow for good may be taken for one.
func TestSlowness(t *testing.T) {
	const ms = time.Millisecond
	spells := func(at time.Duration) int {
		if at%(4000*ms) < 600*ms {
			return 325
		}
		return 100
	}
	tests := map[string]struct {
		report func(at time.Duration) int
		// until is when the last report comes, and after the time from there to the look.
		until, after    time.Duration
		expected, usual float64
	}{
		"no report":                   {func(time.Duration) int { return 0 }, 0, 0, 1, 0},
		"as usual":                    {func(time.Duration) int { return 100 }, 10_000 * ms, 0, 1, 1},
		"slow for good":               {func(time.Duration) int { return 130 }, 10_000 * ms, 0, 1.3, 1.3},
		"slow for good, without news": {func(time.Duration) int { return 130 }, 10_000 * ms, 60_000 * ms, 1.3, 1.3},
		"within a spell":              {spells, 12_300 * ms, 0, 3.25, 1.02},
		"a spell 600 ms ago":          {spells, 12_300 * ms, 600 * ms, 2.13, 1.02},
		"a spell long ago":            {spells, 12_300 * ms, 10_000 * ms, 1.02, 1.02},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := hgpace.NewTracker().Add("r", "1", "s")
			for at := time.Duration(0); at <= tt.until && tt.until > 0; at += 50 * ms {
				r.ObserveSlowness(tt.report(at), at)
			}
			if got := r.Slowness(tt.until + tt.after); math.Abs(got-tt.expected) > 0.05 {
				t.Errorf("expected slowness %.2f, want %.2f", got, tt.expected)
			}
			if got := r.UsualSlowness(); math.Abs(got-tt.usual) > 0.05 {
				t.Errorf("usual slowness %.2f, want %.2f", got, tt.usual)
			}
		})
	}
}
