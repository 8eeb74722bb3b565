package hgledger_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgturn"
)

// peers is a backup of ledgers in the same process; asking is the one that asks the others.
type peers struct {
	all    []*hgledger.Ledger
	asking int
	some   bool
}

// except returns a ledger, as the one that asks the others.
func (p *peers) except(i int) *hgledger.Ledger {
	p.asking, p.some = i, true
	return p.all[i]
}

func (p *peers) others() []*hgledger.Ledger {
	if !p.some {
		return p.all
	}
	return append(append([]*hgledger.Ledger(nil), p.all[:p.asking]...), p.all[p.asking+1:]...)
}

func (p *peers) Copy(ctx context.Context, c hgledger.Copy) (copies int) {
	for _, l := range p.others() {
		if l.TakeCopy(ctx, c) {
			copies++
		}
	}
	return copies
}

func (p *peers) Ask(ctx context.Context, q hgledger.SoleRequest) (a hgledger.Answers) {
	for _, l := range p.others() {
		a.Add(l.Part(ctx, q))
	}
	return a
}

func (p *peers) Troubled() bool { return true }

func (p *peers) IsApart() bool { return false }

func newPeered(t *testing.T, id string, store hgstore.Table, p *peers) *hgledger.Ledger {
	timer := hgtimer.NewService()
	t.Cleanup(timer.Close)
	return hgledger.NewLedger(id, store, timer, hglog.Discard(), hgledger.WithRetryAfter(time.Millisecond),
		hgledger.WithBackup(p), hgledger.WithComplete(true))
}

// An outage of the store: a new program is served and its budget holds over the death of the node that served it.
func TestOutage(t *testing.T) {
	store := hgstore.NewMemory()
	second := newPeered(t, "b", store, &peers{})
	first := newPeered(t, "a", store, &peers{all: []*hgledger.Ledger{second}})
	ask := func(l *hgledger.Ledger, program, attempt string, offline bool) hgledger.Verdict {
		return l.Open(context.Background(), hgledger.OpenRequest{
			Program: program, Attempt: attempt, Budget: 250, Most: 100, HasBudget: true, Offline: offline,
		}).Verdict
	}
	want := func(got, want hgledger.Verdict, what string) {
		t.Helper()
		if got != want {
			t.Errorf("%s: %s, want %s", what, got, want)
		}
	}
	store.SetFault(hgstore.Fault{Down: true})
	want(ask(first, "new", "1", true), hgledger.Granted, "a new program")
	want(ask(first, "new", "2", true), hgledger.Outage, "a turn beside the open one")
	close := hgledger.CloseRequest{Program: "new", Attempt: "1", Holder: "a", Used: 40}
	if err := first.Close(context.Background(), close); err != nil {
		t.Fatal(err)
	}
	want(ask(first, "new", "3", true), hgledger.Outage, "a turn that may be longer than what is left")
	short := first.Open(context.Background(), hgledger.OpenRequest{
		Program: "new", Attempt: "4", Budget: 250, Most: 100, HasBudget: true, Offline: true, Estimate: 50,
	})
	if short.Verdict != hgledger.Outage {
		t.Errorf("a short turn below the least length: %s", short.Verdict)
	}
	want(ask(newPeered(t, "c", store, &peers{}), "other", "1", true), hgledger.Outage, "a node without peers")
	store.SetFault(hgstore.Fault{})
	// The first node is gone; its peer writes the copy, so that a third one knows of it.
	time.Sleep(2100 * time.Millisecond)
	if saved, left := second.Save(context.Background()); saved != 1 || left != 0 {
		t.Errorf("saved %d, left %d", saved, left)
	}
	third := newPeered(t, "d", store, &peers{})
	want(ask(third, "new", "5", false), hgledger.Granted, "one turn beside what was taken")
	want(ask(third, "new", "6", false), hgledger.Granted, "one more, as what was taken may be unused")
	want(ask(third, "new", "7", false), hgledger.Spent, "a turn beyond")
}

// A program that was served nearby is no new one, whoever served it.
func TestOutageKnownProgram(t *testing.T) {
	store := hgstore.NewMemory()
	second := newPeered(t, "b", store, &peers{})
	first := newPeered(t, "a", store, &peers{all: []*hgledger.Ledger{second}})
	q := hgledger.OpenRequest{Program: "p", Attempt: "1", Budget: 100, Most: 100, HasBudget: true}
	if v := second.Open(context.Background(), q).Verdict; v != hgledger.Granted {
		t.Fatal(v)
	}
	first.Learn(second.Seen(), false)
	q.Attempt, q.Offline = "2", true
	if v := first.Open(context.Background(), q).Verdict; v != hgledger.Outage {
		t.Errorf("verdict %s", v)
	}
}

// After an outage a node that knows nothing of a program hears from peers what was taken meanwhile and not yet written.
func TestOutageEnds(t *testing.T) {
	store := hgstore.NewMemory()
	all := &peers{}
	first, second := newPeered(t, "a", store, all), newPeered(t, "b", store, all)
	third := newPeered(t, "c", store, &peers{})
	all.all = []*hgledger.Ledger{third}
	q := hgledger.OpenRequest{Program: "p", Attempt: "1", Budget: 250, Most: 100, HasBudget: true, Offline: true}
	want := func(l *hgledger.Ledger, attempt string, want hgledger.Verdict) {
		t.Helper()
		q.Attempt = attempt
		if v := l.Open(context.Background(), q).Verdict; v != want {
			t.Errorf("turn %s: %s, want %s", attempt, v, want)
		}
	}
	want(first, "1", hgledger.Granted)
	// 100 are taken and not written; one turn fits beside them, and one more if they are not used.
	q.Offline = false
	want(second, "2", hgledger.Granted)
	want(second, "3", hgledger.Granted)
	want(second, "4", hgledger.Spent)
	if saved, left := first.Save(context.Background()); saved != 1 || left != 0 || first.Unsaved() {
		t.Errorf("saved %d, left %d", saved, left)
	}
	want(newPeered(t, "d", store, &peers{}), "5", hgledger.Spent)
}

// Two nodes that both hear of a program do not both take of its budget; one without a part asks those that have one.
func TestOutageTwoNodes(t *testing.T) {
	tests := map[string]bool{"new at both": false, "known at the other one only": true}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			store := hgstore.NewMemory()
			all := &peers{}
			first, second := newPeered(t, "a", store, all), newPeered(t, "b", store, &peers{})
			q := hgledger.OpenRequest{Program: "p", Attempt: "1", Budget: 1000, Most: 100, HasBudget: true}
			if before {
				if v := second.Open(context.Background(), q).Verdict; v != hgledger.Granted {
					t.Fatal(v)
				}
			}
			all.all = []*hgledger.Ledger{second}
			q.Offline, q.Attempt = true, "2"
			if v := first.Open(context.Background(), q).Verdict; (v == hgledger.Granted) == before {
				t.Errorf("first: %s", v)
			}
			q.Attempt = "3"
			if v := second.Open(context.Background(), q).Verdict; (v == hgledger.Granted) != before {
				t.Errorf("second: %s", v)
			}
		})
	}
}

// While a part of the store stays without answers, its programs keep their turns in other parts.
func TestSilentPart(t *testing.T) {
	store := hgstore.NewMemory()
	first := newLedger(t, "a", store)
	var silent []string
	for i := range 4 {
		silent = append(silent, fmt.Sprintf("%02d", i))
	}
	store.SetFault(hgstore.Fault{Silent: silent})
	previous := map[int]string{}
	for turn := range 3 {
		for p := range 12 {
			id := fmt.Sprintf("t%d-%d", p, turn)
			ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
			err := first.Close(ctx, hgledger.CloseRequest{Program: fmt.Sprint("p", p), Attempt: id, Turn: &hgturn.Turn{
				ID: id, Previous: previous[p], Input: []byte(id), Output: []byte("\n"),
			}})
			cancel()
			if err != nil {
				t.Fatalf("turn %s: %v", id, err)
			}
			previous[p] = id
		}
	}
	store.SetFault(hgstore.Fault{})
	for _, program := range []string{"", "another"} {
		second := newLedger(t, "b"+program, store)
		for p, id := range previous {
			reply := open(second, fmt.Sprint("p", p, program), "x", id)
			if want := fmt.Sprintf("t%d-0\nt%d-1\nt%d-2\n", p, p, p); string(reply.Text) != want || reply.Verdict != hgledger.Granted {
				t.Errorf("program %d: %s %q, want %q", p, reply.Verdict, reply.Text, want)
			}
		}
	}
}

// While its part of the store stays without answers, a new program's account is durable in another part: the budget
// holds after all nodes were lost.
func TestSilentPartBudget(t *testing.T) {
	store := hgstore.NewMemory()
	first := newPeered(t, "a", store, &peers{all: []*hgledger.Ledger{newPeered(t, "b", store, &peers{})}})
	var silent []string
	for i := range 16 {
		if i%4 == 0 {
			silent = append(silent, fmt.Sprintf("%02d", i))
		}
	}
	store.SetFault(hgstore.Fault{Silent: silent})
	const budget, most, programs = 300, 100, 24
	handed := map[string]int{}
	spend := func(l *hgledger.Ledger) {
		for p := range programs {
			program := fmt.Sprint("p", p)
			for range 4 {
				q := hgledger.OpenRequest{Program: program, Attempt: fmt.Sprint(program, handed[program], len(handed)), Budget: budget, Most: most, HasBudget: true}
				r := l.Open(context.Background(), q)
				if r.Verdict != hgledger.Granted {
					continue
				}
				handed[program] += r.Most
				err := l.Close(context.Background(), hgledger.CloseRequest{Program: program, Attempt: q.Attempt, Holder: r.Holder, Used: r.Most})
				if err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	spend(first)
	spend(first)
	for p := range programs {
		if n := handed[fmt.Sprint("p", p)]; n < most {
			t.Errorf("program %d got %d tokens while parts are silent", p, n)
		}
	}
	store.SetFault(hgstore.Fault{})
	rows, _, err := store.List(context.Background(), hgledger.MarkerPrefix)
	if err != nil {
		t.Fatal(err)
	}
	if len(rows) == 0 {
		t.Error("no account was kept in another part")
	}
	for range 2 {
		again := newLedger(t, fmt.Sprint("c", handed["p0"]), store)
		again.SetMarkers(lo.KeyBy(rows, func(r hgstore.Row) string { return r.Key }))
		spend(again)
	}
	for p := range programs {
		if n := handed[fmt.Sprint("p", p)]; n < budget || n > budget+most {
			t.Errorf("program %d got %d tokens of a budget of %d", p, n, budget)
		}
	}
}

// A ledger without the store grants what it has taken before; where another one could take more it grants a whole turn or
// nothing, so that no turn is cut that could have run to its end.
func TestOutageWhole(t *testing.T) {
	tests := map[string]struct {
		used  int
		whole bool
		want  hgledger.Verdict
	}{
		"enough is left":                {40, true, hgledger.Granted},
		"too little is left":            {180, true, hgledger.Outage},
		"too little, but there is none": {180, false, hgledger.Granted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store := hgstore.NewMemory()
			l := newPeered(t, "a", store, &peers{})
			q := hgledger.OpenRequest{Program: "p", Attempt: "1", Budget: 500, Most: 200, HasBudget: true}
			if v := l.Open(t.Context(), q).Verdict; v != hgledger.Granted {
				t.Fatal(v)
			}
			if err := l.Close(t.Context(), hgledger.CloseRequest{Program: "p", Attempt: "1", Holder: "a", Used: tt.used}); err != nil {
				t.Fatal(err)
			}
			q.Attempt, q.Offline, q.KnownOnly, q.Whole = "2", true, true, tt.whole
			if v := l.Open(t.Context(), q).Verdict; v != tt.want {
				t.Errorf("verdict %s, want %s", v, tt.want)
			}
			q.Program = "unknown"
			if v := l.Open(t.Context(), q).Verdict; v != hgledger.Outage {
				t.Errorf("a program that was not served here: %s", v)
			}
		})
	}
}
