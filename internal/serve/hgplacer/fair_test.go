package hgplacer_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
)

func granted(hgreplica.Want) (*hgreplica.Lease, bool) { return nil, true }

// Guards against another order than the one without teams while only one team, or none, waits.
func TestOneTeamKeepsOrder(t *testing.T) {
	bit := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	rapid.Check(t, func(t *rapid.T) {
		team := rapid.SampledFrom([]string{"", "a"}).Draw(t, "team")
		q := hgplacer.NewQueue()
		var want []hgplacer.Request
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"push", "push", "push", "next", "full", "remove"}).Draw(t, "step") {
			case "push":
				r := hgplacer.Request{ID: fmt.Sprint(i), Rank: hgplacer.Rank{
					New: rapid.Bool().Draw(t, "new"), Late: rapid.Bool().Draw(t, "late"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					Arrived: time.Duration(i), Team: team, Tokens: rapid.IntRange(-1, 5000).Draw(t, "tokens"),
				}}
				q.Push(r)
				want = append(want, r)
				slices.SortFunc(want, func(a, b hgplacer.Request) int {
					return cmp.Or(bit(a.Rank.Late)-bit(b.Rank.Late), bit(a.Rank.New)-bit(b.Rank.New), a.Rank.Priority-b.Rank.Priority, cmp.Compare(a.Rank.Arrived, b.Rank.Arrived))
				})
			case "full":
				if _, _, ok := q.Next(func(hgreplica.Want) (*hgreplica.Lease, bool) { return nil, false }); ok {
					t.Fatal("a request was served without a place")
				}
			case "next":
				r, _, ok := q.Next(granted)
				if ok != (len(want) > 0) {
					t.Fatalf("served %t of %d requests", ok, len(want))
				}
				if ok {
					if diff := gocmp.Diff(want[0], r); diff != "" {
						t.Fatalf("(-want +got):\n%s", diff)
					}
					want = want[1:]
				}
			case "remove":
				if len(want) > 0 {
					at := rapid.IntRange(0, len(want)-1).Draw(t, "at")
					q.Remove(want[at].ID)
					want = slices.Delete(want, at, at+1)
				}
			}
		}
		if q.Len() != len(want) {
			t.Fatalf("%d requests wait, want %d", q.Len(), len(want))
		}
	})
}

// load is a team's part of a simulated site: the mean time between its requests and the tokens that each generates.
type load struct {
	every  time.Duration
	tokens int
}

// outcome is what a team got: the time on slots, and its waits on average.
type outcome struct {
	served, wait time.Duration
	requests     int
}

// perToken is the time in which a simulated engine generates a token.
const perToken = 2600 * time.Microsecond

// simulate runs a queue before eight slots for a minute and returns what each team got. The requests arrive at random.
func simulate(loads map[string]load) map[string]outcome {
	const (
		slots    = 8
		step     = time.Millisecond
		duration = time.Minute
	)
	random := rand.New(rand.NewPCG(1, 2))
	q := hgplacer.NewQueue()
	var running []time.Duration
	got := map[string]outcome{}
	names := make([]string, 0, len(loads))
	for name := range loads {
		names = append(names, name)
	}
	slices.Sort(names)
	id := 0
	for now := time.Duration(0); now < duration; now += step {
		running = slices.DeleteFunc(running, func(end time.Duration) bool { return end <= now })
		for _, name := range names {
			if l := loads[name]; random.Float64() < float64(step)/float64(l.every) {
				id++
				q.Push(hgplacer.Request{ID: fmt.Sprint(id), Rank: hgplacer.Rank{Team: name, Arrived: now, Tokens: l.tokens, New: random.IntN(4) == 0}})
			}
		}
		for len(running) < slots {
			r, _, ok := q.Next(granted)
			if !ok {
				break
			}
			took := time.Duration(r.Rank.Tokens) * perToken
			running = append(running, now+took)
			o := got[r.Rank.Team]
			o.served, o.wait, o.requests = o.served+took, o.wait+now-r.Rank.Arrived, o.requests+1
			got[r.Rank.Team] = o
		}
	}
	return got
}

// Guards against teams whose requests wait because others send many times their usual load, also with few large requests, and
// against capacity that a team on its own cannot use.
func TestHotTeamsDoNotDelayOthers(t *testing.T) {
	// Each of the ten teams needs 0.52 of the eight slots at its usual load.
	usual := load{500 * time.Millisecond, 100}
	hot := load{usual.every / 7, usual.tokens}
	site := func(special ...load) map[string]load {
		loads := map[string]load{}
		for i := range 10 {
			loads[fmt.Sprint("t", i)] = usual
			if i < len(special) {
				loads[fmt.Sprint("t", i)] = special[i]
			}
		}
		return loads
	}
	tests := map[string]struct {
		loads map[string]load
		hot   int
		// largest is the number of tokens of the largest answer.
		largest int
	}{
		"usual":                  {site(), 0, 100},
		"one hot":                {site(hot), 1, 100},
		"three hot":              {site(hot, hot, hot), 3, 100},
		"hot with large answers": {site(load{usual.every / 2, 700}), 1, 700},
		"hot with small answers": {site(load{usual.every / 70, 10}), 1, 100},
	}
	base := simulate(site())
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := simulate(tt.loads)
			var mean time.Duration
			for _, o := range got {
				mean += o.served / time.Duration(len(got))
			}
			for i := range 10 {
				team := fmt.Sprint("t", i)
				o := got[team]
				if o.served < mean/4 {
					t.Errorf("team %s got %v, the average %v", team, o.served, mean)
				}
				// A request that finds all slots taken waits until one is free, which takes one of the largest answers if these
				// have just begun. Answers are not interrupted.
				limit := time.Duration(tt.largest) * perToken
				if wait := o.wait / time.Duration(o.requests); i >= tt.hot && (wait > limit || float64(o.requests) < 0.75*float64(base[team].requests)) {
					t.Errorf("team %s: %d requests (%d usually) wait for %v on average", team, o.requests, base[team].requests, wait)
				}
			}
		})
	}
	alone := simulate(map[string]load{"t0": {usual.every / 50, usual.tokens}})["t0"].served
	if alone < 8*55*time.Second {
		t.Errorf("a team on its own gets %v of eight slots in a minute", alone)
	}
}

// Guards against a team that gets more than the others while all wait, and against one that comes later and is given what it did not
// use before: by start-time fair queueing the times that two teams get differ by few requests, whatever they send.
func TestWaitingTeamsShareAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := hgplacer.NewQueue()
		teams := []string{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "teams")]
		id := 0
		push := func(team string) {
			id++
			q.Push(hgplacer.Request{ID: fmt.Sprint(id), Rank: hgplacer.Rank{
				Team: team, Arrived: time.Duration(id), New: rapid.Bool().Draw(t, "new"), Tokens: rapid.IntRange(1, 1000).Draw(t, "tokens"),
			}})
		}
		for _, team := range teams {
			push(team)
			push(team)
		}
		served := map[string]int{}
		join := rapid.IntRange(1, 200).Draw(t, "join")
		for i := range rapid.IntRange(1, 400).Draw(t, "requests") {
			if i == join {
				served["late"] = max(served["a"], served["b"], served["c"])
				teams = append(teams, "late")
				push("late")
				push("late")
			}
			r, _, _ := q.Next(granted)
			served[r.Rank.Team] += r.Rank.Tokens
			for range rapid.IntRange(1, 3).Draw(t, "more") {
				push(r.Rank.Team)
			}
			for _, team := range teams {
				if d := served[r.Rank.Team] - served[team]; d > 3*1000 {
					t.Fatalf("team %s got %d tokens more than %s", r.Rank.Team, d, team)
				}
			}
		}
	})
}

// Late requests go last and urgent teams first; within a team, programs in progress go before new ones.
func TestOrderOfTeams(t *testing.T) {
	q := hgplacer.NewQueue()
	for id, rank := range map[string]hgplacer.Rank{
		"a late":     {Team: "a", Late: true, Arrived: 1},
		"a new":      {Team: "a", New: true, Priority: 1, Arrived: 2},
		"a":          {Team: "a", Priority: 1, Arrived: 5},
		"b new":      {Team: "b", New: true, Priority: 1, Arrived: 3},
		"b":          {Team: "b", Priority: 1, Arrived: 6},
		"urgent new": {Team: "c", New: true, Arrived: 7},
	} {
		q.Push(hgplacer.Request{ID: id, Rank: rank})
	}
	var got []string
	for q.Len() > 0 {
		r, _, _ := q.Next(granted)
		got = append(got, r.ID)
	}
	if diff := gocmp.Diff([]string{"urgent new", "a", "b", "a new", "b new", "a late"}, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

// Guards against new programs of a team that are refused for the load of another one, and against load without a bound.
func TestNewProgramsOfSmallTeam(t *testing.T) {
	p, s := newPlacer(t, "a", "b", "c", "d", "e")
	place := func(id, team string, isNew bool) hgplacer.Verdict {
		a := ask(id, 20*time.Millisecond)
		a.Rank.Team, a.Rank.New, a.Rank.Priority = team, isNew, 1
		_, v := p.Place(t.Context(), a)
		return v
	}
	for i := 0; s.Load("s") < hgplacer.FullLoad; i++ {
		if v := place(fmt.Sprint("hot", i), "hot", true); v != hgplacer.Granted {
			t.Fatalf("hot team at load %.2f: %s", s.Load("s"), v)
		}
	}
	for _, tt := range []struct {
		team string
		want hgplacer.Verdict
	}{{"hot", hgplacer.Full}, {"small", hgplacer.Granted}, {"hot", hgplacer.Full}, {"other", hgplacer.Granted}} {
		if v := place("new "+tt.team, tt.team, true); v != tt.want {
			t.Errorf("new program of team %s at load %.2f: %s, want %s", tt.team, s.Load("s"), v, tt.want)
		}
	}
	for i := 0; s.Load("s") < hgplacer.FullLoadFair; i++ {
		place(fmt.Sprint("more", i), "hot", false)
	}
	if v := place("too late", "third", true); v != hgplacer.Full {
		t.Errorf("new program at load %.2f: %s", s.Load("s"), v)
	}
}
