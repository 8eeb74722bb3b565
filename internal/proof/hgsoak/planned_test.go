package hgsoak

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/proof/hgsite"
)

func TestJudgePlanned(t *testing.T) {
	written := time.Now()
	after := func(d time.Duration) exchange {
		return exchange{attempt: "a", conn: "new", written: written, ended: written.Add(d), deadline: callTimeout / 2, err: errors.New("EOF")}
	}
	with := func(e exchange, change func(e *exchange)) exchange {
		change(&e)
		return e
	}
	runs := []hgsite.Run{{Attempt: "a", Replica: "tool-0"}}
	tests := map[string]struct {
		exchange   exchange
		runs       []hgsite.Run
		violations int
		counts     map[string]int
	}{
		"answered":                        {with(after(time.Second), func(e *exchange) { e.answered = true }), runs, 0, map[string]int{"planned: answered, new": 1}},
		"crossed the close":               {after(lossSlack), nil, 0, map[string]int{"planned: crossed, new": 1}},
		"crossed it on a kept connection": {with(after(0), func(e *exchange) { e.conn = "kept" }), nil, 0, map[string]int{"planned: crossed, kept": 1}},
		"ended past the slack":            {after(lossSlack + time.Millisecond), nil, 1, map[string]int{}},
		"passed on and cut":               {after(time.Millisecond), runs, 1, map[string]int{}},
		"passed on before its last byte":  {with(after(0), func(e *exchange) { e.written = time.Time{} }), runs, 1, map[string]int{}},
		"refused dial":                    {with(after(0), func(e *exchange) { e.written = time.Time{} }), nil, 0, map[string]int{"planned: not sent": 1}},
		"cut before its deadline":         {after(callTimeout/2 - time.Millisecond), runs, 1, map[string]int{}},
		"out of time":                     {after(callTimeout / 2), runs, 0, map[string]int{"planned: out of time": 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChecker()
			c.recordExchange(tt.exchange)
			c.judgePlanned(tt.runs)
			if len(c.violations) != tt.violations {
				t.Errorf("violations %q, want %d", c.violations, tt.violations)
			}
			if diff := cmp.Diff(tt.counts, c.counts); diff != "" {
				t.Error(diff)
			}
		})
	}
}
