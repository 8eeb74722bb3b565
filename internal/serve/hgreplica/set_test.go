package hgreplica_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgreplica"
)

// clock is a timer whose time the test sets.
type clock struct {
	hgtimer.Timer
	now time.Duration
}

func (c *clock) Now() time.Duration { return c.now }

func newSet(entries ...hgreplica.Registration) (*hgreplica.Set, *clock) {
	c := &clock{now: time.Minute}
	s := hgreplica.NewSet(c, "north", func(time.Duration) *http.Client { return &http.Client{} })
	s.Apply(byID(entries), 0)
	return s, c
}

func byID(entries []hgreplica.Registration) map[string]hgreplica.Registration {
	return lo.KeyBy(entries, func(e hgreplica.Registration) string { return e.ID })
}

func entry(id, domain string) hgreplica.Registration {
	return hgreplica.Registration{ID: id, Service: "s", Address: id + ":1", Domain: domain, Slots: 4}
}

// picks takes n leases at once, releases them, and returns how many went to each replica.
func picks(s *hgreplica.Set, w hgreplica.Want, n int) map[string]int {
	w.Service = "s"
	leases := lo.Times(n, func(int) *hgreplica.Lease {
		l, _ := s.Pick(w)
		return l
	})
	count := map[string]int{}
	for _, l := range leases {
		if l != nil {
			count[l.ID]++
			l.Release()
		}
	}
	return count
}

func TestPick(t *testing.T) {
	leaving := entry("b", "north")
	leaving.Leaving = true
	tests := map[string]struct {
		entries []hgreplica.Registration
		want    hgreplica.Want
		n       int
		check   func(n map[string]int) bool
	}{
		"load is spread": {
			[]hgreplica.Registration{entry("a", "north"), entry("b", "north")}, hgreplica.Want{}, 8,
			func(n map[string]int) bool { return n["a"] == 4 && n["b"] == 4 },
		},
		"a leaving one gets nothing": {
			[]hgreplica.Registration{entry("a", "north"), leaving}, hgreplica.Want{}, 8,
			func(n map[string]int) bool { return n["b"] == 0 && n["a"] == 8 },
		},
		"what is kept of the prompt decides": {
			[]hgreplica.Registration{entry("a", "north"), entry("b", "north")}, hgreplica.Want{Prompt: 3000, Kept: map[string]int{"b": 2800}}, 3,
			func(n map[string]int) bool { return n["b"] == 3 },
		},
		"until its places are taken": {
			[]hgreplica.Registration{entry("a", "north"), entry("b", "north")}, hgreplica.Want{Prompt: 1000, Kept: map[string]int{"b": 900}}, 16,
			func(n map[string]int) bool { return n["a"] > 0 },
		},
		"near ones first": {
			[]hgreplica.Registration{entry("a", "south"), entry("b", "north")}, hgreplica.Want{Far: 25 * time.Millisecond}, 3,
			func(n map[string]int) bool { return n["b"] == 3 },
		},
		"none left": {
			[]hgreplica.Registration{entry("a", "north")}, hgreplica.Want{Exclude: map[string]bool{"a": true}}, 1,
			func(n map[string]int) bool { return len(n) == 0 },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := newSet(tt.entries...)
			if n := picks(s, tt.want, tt.n); !tt.check(n) {
				t.Errorf("picked %v", n)
			}
		})
	}
}

// A slow or failing replica is avoided after a few answers, and tried again after some seconds.
func TestAvoidance(t *testing.T) {
	tests := map[string]func(l *hgreplica.Lease){
		"slow":    func(l *hgreplica.Lease) { l.RecordAnswer(hgattempt.Answer{}, 400*time.Millisecond) },
		"failing": func(l *hgreplica.Lease) { l.MarkFailed() },
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := newSet(entry("a", "north"), entry("b", "north"))
			for range 12 {
				l, ok := s.Pick(hgreplica.Want{Service: "s"})
				if !ok {
					t.Fatal("none left")
				}
				if l.ID == "a" {
					spoil(l)
				} else {
					l.RecordAnswer(hgattempt.Answer{}, 20*time.Millisecond)
				}
				l.Release()
			}
			if n := picks(s, hgreplica.Want{}, 4); n["a"] > 0 {
				t.Errorf("picked %v", n)
			}
			c.now += 30 * time.Second
			if n := picks(s, hgreplica.Want{}, 8); n["a"] == 0 {
				t.Errorf("after half a minute picked %v", n)
			}
		})
	}
}

// Replicas whose registrations lapsed during an outage of the store stay usable for the time that is left to register again,
// which is two seconds at most.
func TestLapsedRegistration(t *testing.T) {
	both := byID([]hgreplica.Registration{entry("a", "north"), entry("b", "north")})
	one := byID([]hgreplica.Registration{entry("a", "north")})
	tests := map[string]struct {
		lapse  time.Duration
		after  time.Duration
		back   bool
		usable bool
	}{
		"gone":               {0, 0, false, false},
		"lapsed":             {2 * time.Second, time.Second, false, true},
		"lapsed for long":    {2 * time.Second, 3 * time.Second, false, false},
		"little time left":   {500 * time.Millisecond, time.Second, false, false},
		"lapsed and is back": {2 * time.Second, 3 * time.Second, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := newSet(lo.Values(both)...)
			s.Apply(one, tt.lapse)
			if tt.back {
				s.Apply(both, 0)
			}
			c.now += tt.after
			if n := picks(s, hgreplica.Want{}, 8); n["b"] > 0 != tt.usable {
				t.Errorf("picked %v", n)
			}
		})
	}
}

// Cached prompt tokens are fetched from the replica that has the most of them, unless running there or computing them again
// costs less.
func TestFetch(t *testing.T) {
	fetch := hgreplica.FetchCost{Setup: time.Millisecond, PerToken: time.Microsecond / 2, Charge: 10 * time.Microsecond}
	expensive := fetch
	expensive.Charge = time.Millisecond
	leaving := entry("b", "north")
	leaving.Leaving = true
	tests := map[string]struct {
		b        hgreplica.Registration
		fetch    hgreplica.FetchCost
		kept     map[string]int
		busy     int
		id, from string
		miss     int
	}{
		"free where it is kept":   {entry("b", "north"), fetch, map[string]int{"b": 9000}, 0, "b", "", 1000},
		"busy where it is kept":   {entry("b", "north"), fetch, map[string]int{"b": 9000}, 40, "a", "b:1", 1000},
		"part of it here as well": {entry("b", "north"), fetch, map[string]int{"b": 9000, "a": 4000}, 40, "a", "b:1", 1000},
		"fetching is dear":        {entry("b", "north"), expensive, map[string]int{"b": 9000}, 400, "a", "", 10000},
		"no fetching":             {entry("b", "north"), hgreplica.FetchCost{}, map[string]int{"b": 9000}, 400, "a", "", 10000},
		"kept by one that leaves": {leaving, fetch, map[string]int{"b": 9000}, 0, "a", "", 10000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, _ := newSet(entry("a", "north"), tt.b)
			s.SetPeerInFlight(map[string]int{"b": tt.busy})
			l, ok := s.Pick(hgreplica.Want{Service: "s", Prompt: 10000, Kept: tt.kept, Fetch: tt.fetch})
			if !ok || l.ID != tt.id || l.FetchFrom != tt.from || l.Why.Miss != tt.miss {
				t.Errorf("placed on %s fetching from %q, %d to read", l.ID, l.FetchFrom, l.Why.Miss)
			}
		})
	}
}

// An adopted lease is not counted as in flight here, and its release reports the outcome.
func TestAdopt(t *testing.T) {
	s, c := newSet(entry("a", "north"))
	var got hgreplica.Outcome
	l, ok := s.Adopt("a", "b:1", hgreplica.Decision{}, func(o hgreplica.Outcome) { got = o })
	if !ok || l.FetchFrom != "b:1" || len(s.InFlight()) != 0 {
		t.Fatalf("adopted %v, in flight %v", ok, s.InFlight())
	}
	l.RecordAnswer(hgattempt.Answer{}, 30*time.Millisecond)
	c.now += 200 * time.Millisecond
	l.MarkFailed()
	l.Release()
	want := hgreplica.Outcome{Answered: true, Took: 30 * time.Millisecond, Held: 200 * time.Millisecond, Failed: true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if _, ok := s.Adopt("gone", "", hgreplica.Decision{}, nil); ok {
		t.Error("adopted a lease on an unknown replica")
	}
}

// A single failed request may be the fault of the request and does not count against the replica. Failures in a row do, and
// for longer the more there are.
func TestErrorsInARow(t *testing.T) {
	fail, answer := hgattempt.Answer{Failed: true}, hgattempt.Answer{}
	tests := map[string]struct {
		answers []hgattempt.Answer
		after   time.Duration
		draws   bool
	}{
		"one":                          {[]hgattempt.Answer{fail}, 0, true},
		"with answers between":         {[]hgattempt.Answer{fail, answer, fail, answer, fail}, 0, true},
		"two":                          {[]hgattempt.Answer{fail, fail}, 0, false},
		"two, long ago":                {[]hgattempt.Answer{fail, fail}, time.Minute, true},
		"many, some seconds ago":       {[]hgattempt.Answer{fail, fail, fail, fail, fail, fail}, 10 * time.Second, false},
		"many and then an answer":      {[]hgattempt.Answer{fail, fail, fail, answer}, 20 * time.Second, true},
		"not run, which is no failure": {[]hgattempt.Answer{{NotRun: true}, {NotRun: true}, {NotRun: true}}, 0, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := newSet(entry("a", "north"))
			for _, a := range tt.answers {
				l, _ := s.Pick(hgreplica.Want{Service: "s"})
				l.RecordAnswer(a, time.Millisecond)
				l.Release()
			}
			c.now += tt.after
			s.Apply(byID([]hgreplica.Registration{entry("a", "north"), entry("b", "north")}), 0)
			if n := picks(s, hgreplica.Want{}, 6)["a"]; (n > 1) != tt.draws {
				t.Errorf("%d of 6 requests go there", n)
			}
		})
	}
}
