package hgsuspect_test

import (
	"math"
	"testing"
	"time"

	"hyssopgrade/internal/serve/hgsuspect"
)

// Guards against a row of another writer with times so far ahead that it is never removed.
func TestRowFarFromNowIsOld(t *testing.T) {
	now := time.UnixMilli(1_780_000_000_000)
	tests := map[string]struct {
		at   int64
		want bool
	}{
		"now":                       {now.UnixMilli(), false},
		"clock a minute ahead":      {now.Add(time.Minute).UnixMilli(), false},
		"half an hour ago":          {now.Add(-30 * time.Minute).UnixMilli(), false},
		"two hours ago":             {now.Add(-2 * time.Hour).UnixMilli(), true},
		"two hours ahead":           {now.Add(2 * time.Hour).UnixMilli(), true},
		"greatest integer":          {math.MaxInt64, true},
		"least integer":             {math.MinInt64, true},
		"a day in seconds as milli": {now.Unix(), true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := hgsuspect.Row{Digest: 1, Breaks: []hgsuspect.RowCrash{{ID: 1, At: tt.at}}, Proof: hgsuspect.RowProof{At: tt.at}}
			if got := r.IsOld(now); got != tt.want {
				t.Errorf("old: %v, want %v", got, tt.want)
			}
		})
	}
}
