package hgentryvm

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/serve/hgdesired"
)

// Guards against turns that are deleted while they are retained, because a newer desired state drops their route or retains turns
// for less time.
func TestRetentionOutlivesDesiredStates(t *testing.T) {
	tests := map[string]struct {
		// states are the times for which the routes of one desired state after the other retain turns.
		states [][]time.Duration
		want   time.Duration
	}{
		"none":              {nil, minRetention},
		"short":             {[][]time.Duration{{time.Second}}, minRetention},
		"longest of routes": {[][]time.Duration{{time.Second, time.Hour, 0}}, 2 * time.Hour},
		"longer since":      {[][]time.Duration{{time.Hour}, {2 * time.Hour}}, 4 * time.Hour},
		"shorter since":     {[][]time.Duration{{time.Hour}, {time.Minute}}, 2 * time.Hour},
		"route is dropped":  {[][]time.Duration{{time.Hour}, nil}, 2 * time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var r retention
			for _, routes := range tt.states {
				s := &hgdesired.State{}
				for _, d := range routes {
					s.Routes = append(s.Routes, hgdesired.Route{RetainFor: d})
				}
				r.apply(s)
			}
			if diff := cmp.Diff(tt.want, r.duration()); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}
