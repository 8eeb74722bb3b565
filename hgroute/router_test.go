package hgroute

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgpreset"
)

func router(n int, change func(p *hgpreset.Preset)) *Router {
	p := hgpreset.Shipped()["ordinary"]
	change(&p)
	var eps []Endpoint
	for i := range n {
		eps = append(eps, Endpoint{ID: fmt.Sprintf("e%d", i), Domain: fmt.Sprint(i % 3), Targets: []string{"m"}, MemoryTokens: 10_000})
	}
	return NewRouter("node", "0", eps, 50, p)
}

func unchanged(*hgpreset.Preset) {}

// query is a call of a running program whose prefix is cached on endpoint 1.
var query = Query{Target: "m", Home: 1, HomeTokens: 4000, Tokens: 4200, Output: 100, Exclude: -1}

func TestPick(t *testing.T) {
	tests := map[string]struct {
		prepare func(r *Router)
		query   Query
		want    int
		wait    bool
	}{
		"home holds the prefix":        {func(*Router) {}, query, 1, false},
		"home is excluded":             {func(*Router) {}, Query{Target: "m", Home: 1, HomeTokens: 4000, Tokens: 4200, Exclude: 1}, 0, false},
		"home leaves":                  {func(r *Router) { r.SetLeaving(1, true) }, query, 0, false},
		"home refused a connection":    {func(r *Router) { r.Failed(1, true, 0) }, query, 0, false},
		"full home is worth the wait":  {func(r *Router) { fillWindow(r, 1) }, query, 1, true},
		"full home, short prefix":      {func(r *Router) { fillWindow(r, 1) }, Query{Target: "m", Home: 1, HomeTokens: 10, Tokens: 20, Exclude: -1}, 0, false},
		"new program goes to memory":   {func(r *Router) { r.SetHeld(0, 20_000); r.SetHeld(1, 20_000) }, Query{Target: "m", Home: -1, Tokens: 50, Exclude: -1, New: true}, 2, false},
		"no endpoint serves":           {func(*Router) {}, Query{Target: "x", Home: -1, Exclude: -1}, -1, false},
		"alone waits for a call":       {func(r *Router) { start(r, 0); start(r, 1); start(r, 2) }, Query{Target: "m", Home: -1, Exclude: -1, Alone: true}, 0, true},
		"alone takes the idle one":     {func(r *Router) { start(r, 0); start(r, 1) }, Query{Target: "m", Home: -1, Exclude: -1, Alone: true}, 2, false},
		"peers fill the home's window": {func(r *Router) { r.SetPeerLoad(1, "peer", 100, 0, 0) }, Query{Target: "m", Home: 1, HomeTokens: 10, Tokens: 20, Exclude: -1}, 0, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := router(3, unchanged)
			tc.prepare(r)
			r.offset = 2
			c := r.Pick(tc.query, 0)
			if diff := cmp.Diff([]any{tc.want, tc.wait}, []any{c.Endpoint, c.Wait}); diff != "" {
				t.Errorf("choice (-want +got):\n%s", diff)
			}
		})
	}
}

func start(r *Router, i int) { r.Started(i, Query{Home: i}) }

// fillWindow starts as many calls as the initial window of the preset allows.
func fillWindow(r *Router, i int) {
	for range 24 {
		start(r, i)
	}
}

// TestEjectionReturnsInSteps guards against sending a full window of calls to an endpoint whose ejection has just ended:
// one call at a time probes it until one succeeds.
func TestEjectionReturnsInSteps(t *testing.T) {
	r := router(1, unchanged)
	r.Failed(0, true, 0)
	if c := r.Pick(query, 500*time.Millisecond); c.Endpoint != -1 {
		t.Errorf("ejected endpoint was chosen: %+v", c)
	}
	start(r, 0)
	if c := r.Pick(query, 2*time.Second); !c.Wait {
		t.Errorf("a second call tries the endpoint: %+v", c)
	}
	r.Finished(0, Timing{Total: time.Second, Output: 10, FirstToken: time.Millisecond}, 3*time.Second)
	start(r, 0)
	if c := r.Pick(query, 3*time.Second); c.Wait || c.Endpoint != 0 {
		t.Errorf("the endpoint is not back: %+v", c)
	}
}

func TestSubsetIsDeterministicAndBounded(t *testing.T) {
	var eps []Endpoint
	for i := range 1700 {
		eps = append(eps, Endpoint{ID: fmt.Sprintf("e%d", i), Targets: []string{"m"}})
	}
	p := hgpreset.Shipped()["ordinary"]
	a, b := NewRouter("node-1", "0", eps, 50, p), NewRouter("node-1", "0", eps, 50, p)
	if diff := cmp.Diff(a.byTarget, b.byTarget); diff != "" {
		t.Errorf("two routers of one node differ:\n%s", diff)
	}
	if n := len(a.byTarget["m"]); n != 50 {
		t.Errorf("%d endpoints instead of 50", n)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			r := router(n, unchanged)
			for i := range n {
				for p := range 9 {
					r.SetPeerLoad(i, fmt.Sprint("peer-", p), 2, 1000, 0)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				r.Pick(query, time.Second)
			}
		})
	}
}
