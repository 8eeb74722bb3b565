package hgsuspect_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/serve/hgsuspect"
)

// A completion at a VM that has not heard of the crashes yet proves the request harmless all the same.
func TestCompletionBeforeNewsOfCrashes(t *testing.T) {
	tests := map[string]struct {
		// completed is when the request completes at the other VM; the crashes are at 3 s.
		completed time.Duration
		refused   bool
	}{
		"after the crashes":  {4 * time.Second, false},
		"before the crashes": {time.Second, true},
		"never":              {0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: time.Hour}
			a, b := hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard())
			at := func(d time.Duration) { c.now = time.Hour + d }
			if tt.completed > 0 && tt.completed < 3*time.Second {
				at(tt.completed)
				b.RecordCompletion(request(1))
			}
			at(3 * time.Second)
			for range 3 {
				a.RecordCrash(request(1))
			}
			if tt.completed > 3*time.Second {
				at(tt.completed)
				b.RecordCompletion(request(1))
			}
			c.now += 100 * time.Millisecond
			exchange(a, b, "a", "b", false, false)
			exchange(a, b, "a", "b", false, false)
			c.now += 10 * time.Second
			if diff := cmp.Diff([]bool{tt.refused, tt.refused}, refusedBy([]*hgsuspect.List{a, b}, 1)); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
		})
	}
}
