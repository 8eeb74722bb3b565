package hgreach_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"hyssopgrade/internal/state/hgreach"
)

const ms = time.Millisecond

// call is one call to a store, in milliseconds of the test's clock; an end of 0 means that it stays in flight.
type call struct {
	begin, hold, end int
	outcome          hgreach.Outcome
}

// play applies calls in the order of their events and returns the state at a time.
func play(calls []call, at int) hgreach.State {
	m := hgreach.NewMonitor()
	ids := map[int]hgreach.Call{}
	for now := range at + 1 {
		for i, c := range calls {
			if c.begin == now {
				ids[i] = m.Begin(time.Duration(now)*ms, time.Duration(c.hold)*ms)
			}
			if c.end == now && c.end > 0 {
				m.End(ids[i], c.outcome, time.Duration(now)*ms)
			}
		}
	}
	return m.State(time.Duration(at) * ms)
}

func TestState(t *testing.T) {
	first := call{begin: 0, end: 4}
	tests := map[string]struct {
		calls []call
		at    int
		want  hgreach.State
	}{
		"before the first answer":                 {nil, 10, hgreach.Unreachable},
		"answered":                                {[]call{first}, 10, hgreach.Reachable},
		"answered long ago":                       {[]call{first}, 60_000, hgreach.Reachable},
		"call in flight for the usual time":       {[]call{first, {begin: 100}}, 120, hgreach.Reachable},
		"call in flight for long":                 {[]call{first, {begin: 100}}, 160, hgreach.Slow},
		"call in flight for very long":            {[]call{first, {begin: 100}}, 520, hgreach.Unreachable},
		"one answer lost while others come":       {[]call{first, {begin: 100}, {begin: 510, end: 515}}, 520, hgreach.Reachable},
		"poll that the store may hold":            {[]call{first, {begin: 100, hold: 1000}}, 900, hgreach.Reachable},
		"poll that is overdue":                    {[]call{first, {begin: 100, hold: 1000}}, 1600, hgreach.Unreachable},
		"refused at once":                         {[]call{first, {begin: 100, end: 101, outcome: hgreach.Failed}}, 110, hgreach.Reachable},
		"refused for a while":                     {[]call{first, {begin: 100, end: 101, outcome: hgreach.Failed}}, 510, hgreach.Unreachable},
		"refused and answered again":              {[]call{first, {begin: 100, end: 101, outcome: hgreach.Failed}, {begin: 600, end: 604}}, 610, hgreach.Reachable},
		"given up by the caller":                  {[]call{first, {begin: 100, end: 300, outcome: hgreach.Canceled}}, 900, hgreach.Reachable},
		"answers that take long":                  {[]call{first, {begin: 100, end: 400}}, 410, hgreach.Slow},
		"timed out":                               {[]call{first, {begin: 100, end: 1000, outcome: hgreach.Failed}}, 1001, hgreach.Unreachable},
		"failed call that began before an answer": {[]call{first, {begin: 100, end: 510, outcome: hgreach.Failed}, {begin: 490, end: 500}}, 515, hgreach.Reachable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, play(tt.calls, tt.at)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// A store that answers a call within the last 400 ms is never unreachable, and one with a call in flight that it has not
// answered for longer, and none answered since, always is.
func TestStateFollowsAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := hgreach.NewMonitor()
		now, lastAnswer := time.Duration(0), time.Duration(-1)
		inFlight := map[hgreach.Call]time.Duration{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * ms
			outcome := hgreach.Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
			if outcome > hgreach.Canceled || len(inFlight) == 0 {
				inFlight[m.Begin(now, 0)] = now
				continue
			}
			for c := range inFlight {
				m.End(c, outcome, now)
				delete(inFlight, c)
				if outcome == hgreach.Answered {
					lastAnswer = now
				}
				break
			}
			state := m.State(now)
			if lastAnswer >= 0 && now-lastAnswer < 400*ms && state == hgreach.Unreachable {
				t.Fatalf("unreachable %v after an answer", now-lastAnswer)
			}
			for _, began := range inFlight {
				if now-max(began, lastAnswer) >= 400*ms && state != hgreach.Unreachable {
					t.Fatalf("%s though no answer came for %v", state, now-max(began, lastAnswer))
				}
			}
		}
	})
}
