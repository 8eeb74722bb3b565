package hgsuspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/serve/hgsuspect"
)

func TestUnanswered(t *testing.T) {
	c := &clock{now: time.Minute}
	l := hgsuspect.NewList(c, hglog.Discard())
	l.RecordUnanswered(request(1), "long ago")
	c.now += 20 * time.Second
	l.RecordUnanswered(request(2), "ended")
	l.RecordUnanswered(request(3), "other")
	for n := range uint64(1000) {
		l.RecordUnanswered(request(n), "busy")
	}
	tests := map[string]struct {
		replica string
		want    []hgsuspect.Request
	}{
		"ended later":         {"ended", []hgsuspect.Request{request(2).WithRun(hgsuspect.Run{Ended: c.now})}},
		"ended, told again":   {"ended", nil},
		"ended too late":      {"long ago", nil},
		"answered everything": {"sound", nil},
	}
	for _, name := range []string{"ended later", "ended, told again", "ended too late", "answered everything"} {
		tc := tests[name]
		if diff := cmp.Diff(tc.want, l.TakeUnanswered(tc.replica)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	if n := len(l.TakeUnanswered("busy")); n != 64 {
		t.Errorf("%d runs of one replica are kept, want 64", n)
	}
}

// Guards against an end of a replica that counts twice: by a broken connection at one VM, and at another one, where the run had timed out, when the
// replica's registration goes.
func TestSilentEndIsOneCrash(t *testing.T) {
	const timeout = 4 * time.Second
	tests := map[string]struct {
		// ends is the number of replicas that end, and gone how long after each end its registration goes.
		ends    int
		gone    time.Duration
		refused bool
	}{
		"two ends":                   {2, 8 * time.Second, false},
		"two ends, late in the list": {2, 12 * time.Second, false},
		"three ends":                 {3, 12 * time.Second, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: time.Hour}
			a, b := hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard())
			for i := range tt.ends {
				replica := fmt.Sprint(i)
				q := request(1).WithRun(hgsuspect.Run{Replica: replica, Incarnation: "1", Began: c.now})
				c.now += time.Second
				a.RecordCrash(q)
				exchange(a, b, "a", "b", false, false)
				c.now += timeout - time.Second
				b.RecordUnanswered(q, replica)
				c.now += time.Second + tt.gone - timeout
				for _, q := range b.TakeUnanswered(replica) {
					b.RecordCrash(q)
				}
				exchange(b, a, "b", "a", false, false)
			}
			if diff := cmp.Diff([]bool{tt.refused, tt.refused}, refusedBy([]*hgsuspect.List{a, b}, 1)); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
		})
	}
}
