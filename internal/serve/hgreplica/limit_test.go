package hgreplica_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgreplica"
)

// restart registers a new incarnation of the first replica at all VMs.
func (l *load) restart(born string) {
	l.entries[0].Born = born
	for _, s := range l.vms {
		s.Apply(byID(l.entries), 0)
	}
}

// limited returns the number of VMs that limit the first replica, by reason.
func (l *load) limited() map[string]int {
	n := map[string]int{}
	for _, s := range l.vms {
		for _, r := range s.Summaries() {
			if r.ID == "r00" && r.LimitReason != "" {
				n[r.LimitReason]++
			}
		}
	}
	return n
}

// inFlight returns the requests in flight on the first replica.
func (l *load) inFlight() (n int) {
	for _, q := range l.open {
		if q.replica == "r00" {
			n++
		}
	}
	return n
}

// A replica that has just started must neither be flooded by all VMs at once nor be left idle: its limit grows with its answers,
// and is gone after a bounded number of them, also while it is slow or starts again and again.
func TestStartOfReplica(t *testing.T) {
	tests := map[string]struct {
		vms, starts int
		slow        float64
	}{
		"one VM":               {1, 1, 1},
		"forty VMs":            {40, 1, 1},
		"slow by 1.6 at first": {40, 1, 1.6},
		"starts four times":    {8, 4, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLoad(t, tt.vms, 6, 4, true)
			usual := l.took
			l.took = func(vm int, replica string, at time.Duration) time.Duration {
				if replica == "r00" {
					return time.Duration(float64(usual(vm, replica, at)) * tt.slow)
				}
				return usual(vm, replica, at)
			}
			for start := range tt.starts {
				l.run(l.clock.now - l.start + second)
				l.open = nil
				l.restart(fmt.Sprint(start + 1))
				answers, began := l.answers["r00"], l.clock.now
				mostEarly, until := 0, 0
				l.each = func() {
					if l.answers["r00"] == answers {
						mostEarly = max(mostEarly, l.inFlight())
					}
					if len(l.limited()) > 0 {
						until = l.answers["r00"] - answers
					}
				}
				l.run(began - l.start + 10*second)
				if mostEarly == 0 || mostEarly > 2 {
					t.Errorf("start %d: %d requests in flight before the first answer, want one or two", start, mostEarly)
				}
				if len(l.limited()) > 0 || until > 100 {
					t.Errorf("start %d: limited at VMs %v; the last limit was seen after %d answers, want 100 at most", start, l.limited(), until)
				}
			}
		})
	}
}

// A limit must follow refusals, and must not come from a machine that is slow for good.
func TestLimitByAnswers(t *testing.T) {
	tests := map[string]struct {
		took func(usual time.Duration) time.Duration
		// least and most bound the requests to the replica in four seconds, of 3,200 to six.
		least, most int
		limited     bool
	}{
		"as usual":         {func(usual time.Duration) time.Duration { return usual }, 150, 3200, false},
		"slow for good":    {func(usual time.Duration) time.Duration { return usual * 13 / 10 }, 20, 3200, false},
		"refuses":          {func(time.Duration) time.Duration { return refused }, 1, 3200, true},
		"is very slow now": {func(usual time.Duration) time.Duration { return usual * 8 }, 1, 600, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLoad(t, 4, 6, 4, true)
			l.run(second)
			usual := l.took
			l.took = func(vm int, replica string, at time.Duration) time.Duration {
				if replica == "r00" {
					return tt.took(usual(vm, replica, at))
				}
				return usual(vm, replica, at)
			}
			before, limited := l.sentTo["r00"], false
			l.each = func() { limited = limited || len(l.limited()) > 0 }
			l.run(5 * second)
			if got := l.sentTo["r00"] - before; got < tt.least || got > tt.most || limited != tt.limited {
				t.Errorf("%d requests, limited %v; want %d to %d, limited %v", got, limited, tt.least, tt.most, tt.limited)
			}
		})
	}
}

// A plain service never refuses a request for a limit: when all replicas are at theirs, each of them may get it.
func TestLimitRefusesNothing(t *testing.T) {
	l := newLoad(t, 1, 2, 1, true)
	for i := range l.entries {
		l.entries[i].Born = "2"
	}
	l.vms[0].Apply(byID(l.entries), 0)
	for range 50 {
		if _, ok := l.vms[0].Pick(hgreplica.Want{Service: "s"}); !ok {
			t.Fatal("no replica, want one")
		}
	}
}

// Without a reported slowness neither silence nor refusals, failures or a restart may change a decision: no replica is left out of a
// choice, and the figures by which each is chosen are the same whether the set is told of the silence or not, apart from the random
// part of the cost.
func TestDecisionsWithoutSlowness(t *testing.T) {
	decisions := func(silence bool) (all []hgreplica.Decision) {
		entries := []hgreplica.Registration{entry("a", "north"), entry("b", "north"), entry("c", "north")}
		s, c := newSet(entries...)
		s.SetSite("vm", []string{"vm"}, []string{"vm"}, []string{"north"}, 0)
		only := []map[string]bool{{"b": true, "c": true}, {"a": true, "c": true}, {"a": true, "b": true}}
		for i := range 120 {
			c.now += 100 * time.Millisecond
			free, _ := s.Pick(hgreplica.Want{Service: "s", Repeatable: true, Left: never})
			if free.Why.Of != len(entries) || free.Why.Probe != 0 {
				t.Errorf("choice %d: of %d replicas, probe %v", i, free.Why.Of, free.Why.Probe)
			}
			free.Release()
			l, _ := s.Pick(hgreplica.Want{Service: "s", Exclude: only[i%3], Prompt: 1000, Repeatable: true, Left: never})
			all = append(all, l.Why)
			if silence {
				l.MarkSent()
				s.Review()
			}
			switch i % 7 {
			case 0, 1, 2, 3:
				l.RecordAnswer(hgattempt.Answer{HasLoad: true, Slots: 4}, time.Duration(30+i)*time.Millisecond)
			case 4:
				l.RecordAnswer(hgattempt.Answer{NotRun: true}, time.Millisecond)
			case 5:
				l.MarkFailed()
			case 6:
				// It stays open for good.
				continue
			}
			l.Release()
			if i == 80 {
				entries[0].Born = "2"
				s.Apply(byID(entries), 0)
			}
		}
		return all
	}
	sameCost := cmp.FilterPath(func(p cmp.Path) bool { return p.Last().String() == ".Cost" }, cmp.Comparer(func(a, b time.Duration) bool {
		return max(a-b, b-a) < 2*time.Millisecond
	}))
	if diff := cmp.Diff(decisions(false), decisions(true), sameCost); diff != "" {
		t.Errorf("decisions without and with silence (-without +with):\n%s", diff)
	}
}
