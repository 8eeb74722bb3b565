package hgentryvm

import (
	"testing"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/operate/hgtelemetry"
	"hyssopgrade/internal/serve/hgdesired"
	"hyssopgrade/internal/serve/hgentry"
	hgplatform "hyssopgrade/platform"
)

// Guards against an answer of the store that counts as evidence although the row in it did not take effect.
func TestAnswerCountsForRowInForce(t *testing.T) {
	type row struct {
		version uint64
		state   *hgdesired.State
	}
	other := &hgdesired.State{Version: 7, Limits: hgdesired.Limits{MaxBodyBytes: 1}}
	tests := map[string]struct {
		applied []row
		newest  uint64
		want    bool
	}{
		"nothing applied":                {nil, 1, false},
		"applied":                        {[]row{{1, &hgdesired.State{Version: 7}}}, 1, true},
		"cannot be decoded":              {[]row{{1, &hgdesired.State{Version: 7}}}, 2, false},
		"written again":                  {[]row{{1, &hgdesired.State{Version: 7}}, {2, &hgdesired.State{Version: 7}}}, 2, true},
		"same number, other content":     {[]row{{1, &hgdesired.State{Version: 7}}, {2, other}}, 2, false},
		"lower number":                   {[]row{{1, &hgdesired.State{Version: 7}}, {2, &hgdesired.State{Version: 6}}}, 2, false},
		"older row with a higher number": {[]row{{2, &hgdesired.State{Version: 7}}, {1, &hgdesired.State{Version: 8}}}, 2, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := hgtelemetry.NewRecorder(hglog.Discard())
			defer m.Close()
			now := time.Second
			f := newFreshness(5*time.Second, func() time.Duration { return now }, m, hglog.Discard())
			e := hgentry.NewEntry(nil, nil, nil, nil, nil, hglog.Discard(), m, nil, nil)
			for _, r := range tt.applied {
				f.apply(e, r.version, r.state)
			}
			f.answered(map[string]hgstore.Row{}, now)
			f.answered(map[string]hgstore.Row{hgplatform.DesiredKey: {Version: tt.newest}}, now)
			if f.evidence.Fresh() != tt.want {
				t.Errorf("fresh %t, want %t", f.evidence.Fresh(), tt.want)
			}
			if d := e.Desired(); name == "older row with a higher number" && d.Version != 7 {
				t.Errorf("number %d is in force", d.Version)
			}
		})
	}
}
