package hgsuspect_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/serve/hgsuspect"
)

// brokenRun is a run of request 1 that a list recorded as broken off.
type brokenRun struct {
	list                 int
	replica, incarnation string
	began, at            time.Duration
}

// One end of a replica is one crash of a request, whatever number of its runs it broke off and whichever VMs saw that; further
// broken runs that began after it are crashes of their own, as connections may break without an end.
func TestOneEndIsOneCrash(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	tests := map[string]struct {
		runs    []brokenRun
		refused bool
	}{
		"five runs under one end":    {[]brokenRun{{0, "a", "1", 0, s}, {0, "a", "1", 0, s}, {0, "a", "1", 500 * ms, s}, {0, "a", "1", 900 * ms, s + ms}, {0, "a", "1", 0, s + 50*ms}}, false},
		"two ends, six runs":         {[]brokenRun{{0, "a", "1", 0, s}, {0, "a", "1", 0, s}, {0, "a", "1", 0, s}, {0, "b", "1", 0, s}, {0, "b", "1", 0, s}, {0, "b", "1", 0, s}}, false},
		"three ends":                 {[]brokenRun{{0, "a", "1", 0, s}, {0, "b", "1", 0, s}, {0, "c", "1", 0, s}}, true},
		"three incarnations":         {[]brokenRun{{0, "a", "1", 0, s}, {0, "a", "2", 0, s}, {0, "a", "3", 0, s}}, true},
		"one after the other":        {[]brokenRun{{0, "a", "1", 0, s}, {0, "a", "1", s, s + 5*ms}, {0, "a", "1", s + 5*ms, s + 9*ms}}, true},
		"at two VMs, one end":        {[]brokenRun{{0, "a", "1", 0, s}, {1, "a", "1", 0, s + ms}, {0, "a", "1", 0, s + ms}, {1, "a", "1", 0, s + 2*ms}}, false},
		"at two VMs, one by one":     {[]brokenRun{{0, "a", "1", 0, s}, {1, "a", "1", s + ms, s + 9*ms}, {0, "a", "1", s + 9*ms, 2 * s}}, true},
		"long after the end":         {[]brokenRun{{0, "a", "1", 0, s}, {0, "a", "1", 0, 20 * s}, {0, "a", "1", 0, 40 * s}}, true},
		"replica's start is unknown": {[]brokenRun{{0, "a", "", 0, s}, {0, "a", "", 0, s}, {0, "a", "", 2 * s, 3 * s}}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clock{}
			lists := []*hgsuspect.List{hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard())}
			for _, r := range tt.runs {
				if r.began > 0 {
					exchange(lists[r.list], lists[1-r.list], "from", "to", false, false)
				}
				c.now = time.Minute + r.at
				run := hgsuspect.Run{Replica: r.replica, Incarnation: r.incarnation, Began: time.Minute + r.began}
				lists[r.list].RecordCrash(request(1).WithRun(run))
			}
			for range 2 {
				exchange(lists[0], lists[1], "0", "1", false, false)
				exchange(lists[1], lists[0], "1", "0", false, false)
			}
			if diff := cmp.Diff([]bool{tt.refused, tt.refused}, refusedBy(lists, 1)); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
			if records := lists[0].HandleOffer("agrees", lists[1].Offer("agrees")).Records; len(records) > 0 {
				t.Errorf("lists with the same crashes differ: %v", records)
			}
		})
	}
}

// Copies that one end broke off must not all be sent again, as each could end another replica before that is known.
func TestBrokenCopiesAreNotAllRetried(t *testing.T) {
	run := hgsuspect.Run{Replica: "a", Incarnation: "1"}
	crash := func(l *hgsuspect.List, n int) {
		for range n {
			l.RecordCrash(request(1).WithRun(run))
		}
	}
	tests := map[string]struct {
		do       func(l *hgsuspect.List, c *clock)
		mayRetry bool
	}{
		"none broken":   {func(*hgsuspect.List, *clock) {}, true},
		"two copies":    {func(l *hgsuspect.List, _ *clock) { crash(l, 2) }, true},
		"three copies":  {func(l *hgsuspect.List, _ *clock) { crash(l, 3) }, false},
		"one completed": {func(l *hgsuspect.List, _ *clock) { crash(l, 3); l.RecordCompletion(request(1)) }, true},
		"some time ago": {func(l *hgsuspect.List, c *clock) { crash(l, 3); c.now += 3 * time.Second }, true},
		"one now, others before": {func(l *hgsuspect.List, c *clock) {
			crash(l, 3)
			c.now += 3 * time.Second
			crash(l, 1)
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: time.Minute}
			l := hgsuspect.NewList(c, hglog.Discard())
			tt.do(l, c)
			if got := l.MayRetry(request(1)); got != tt.mayRetry {
				t.Errorf("may be retried: %v", got)
			}
		})
	}
}

// A crash that one VM excused, as the service seemed to fail there, and another one counted must count at both.
func TestCrashExcusedAtOneVMOnly(t *testing.T) {
	tests := map[string]struct {
		// excusedFirst says whether the VM at which the service seemed to fail was the first to record the crashes.
		excusedFirst bool
		// both says that both VMs excused the crashes.
		both    bool
		refused bool
	}{
		"excused first":                {true, false, true},
		"counted first":                {false, false, true},
		"excused at both":              {true, true, false},
		"excused at both, other first": {false, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: time.Hour}
			a, b := hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard())
			fail := func(l *hgsuspect.List) {
				for content := range uint64(5) {
					l.RecordCrash(sent(10+content, 1))
				}
			}
			crash := func(l *hgsuspect.List, replica string) {
				l.RecordCrash(sent(1, 1).WithRun(hgsuspect.Run{Replica: replica, Began: c.now - 100*time.Millisecond}))
			}
			agree := func() {
				exchange(a, b, "a", "b", false, false)
				exchange(b, a, "b", "a", false, false)
			}
			for _, replica := range []string{"x", "y", "z"} {
				fail(a)
				if tt.both {
					fail(b)
				}
				first, second := a, b
				if !tt.excusedFirst {
					first, second = b, a
				}
				crash(first, replica)
				agree()
				c.now += time.Millisecond
				crash(second, replica)
				agree()
				c.now += 3 * time.Second
			}
			// Only the crashes by caller are left to count.
			b.RecordCompletion(sent(1, 2))
			agree()
			for i, l := range []*hgsuspect.List{a, b} {
				if _, refused := l.Refused(sent(1, 1)); refused != tt.refused {
					t.Errorf("list %d: refused %v", i, refused)
				}
			}
		})
	}
}
