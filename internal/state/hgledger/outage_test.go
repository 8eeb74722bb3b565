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

// peers is a Backup of ledgers in the same process. If hasAsker is set, all[asker] is the ledger that asks the others;
// otherwise the asking ledger is not among them.
type peers struct {
	all      []*hgledger.Ledger
	asker    int
	hasAsker bool
}

// setAsker makes a ledger the one that asks the others, and returns it.
func (p *peers) setAsker(i int) *hgledger.Ledger {
	p.asker, p.hasAsker = i, true
	return p.all[i]
}

func (p *peers) others() []*hgledger.Ledger {
	if !p.hasAsker {
		return p.all
	}
	return append(append([]*hgledger.Ledger(nil), p.all[:p.asker]...), p.all[p.asker+1:]...)
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
		a.Add(l.Share(ctx, q))
	}
	return a
}

func (p *peers) RowsMayBeStale() bool { return true }

func (p *peers) LacksMajority() bool { return false }

func newLedgerWithPeers(t *testing.T, id string, store hgstore.Table, p *peers) *hgledger.Ledger {
	timer := hgtimer.NewService()
	t.Cleanup(timer.Close)
	return hgledger.NewLedger(id, store, timer, hglog.Discard(), hgledger.WithRetryAfter(time.Millisecond),
		hgledger.WithBackup(p), hgledger.WithAllProgramsKnown(true))
}

// During an outage of the store a new program is served, and its budget holds even if the node that served it dies.
func TestOutage(t *testing.T) {
	store := hgstore.NewMemory()
	second := newLedgerWithPeers(t, "b", store, &peers{})
	first := newLedgerWithPeers(t, "a", store, &peers{all: []*hgledger.Ledger{second}})
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
	want(ask(first, "new", "3", true), hgledger.Outage, "a turn that may be longer than the rest of the share")
	short := first.Open(context.Background(), hgledger.OpenRequest{
		Program: "new", Attempt: "4", Budget: 250, Most: 100, HasBudget: true, Offline: true, Estimate: 50,
	})
	if short.Verdict != hgledger.Outage {
		t.Errorf("a short turn below the least length: %s", short.Verdict)
	}
	want(ask(newLedgerWithPeers(t, "c", store, &peers{}), "other", "1", true), hgledger.Outage, "a node without peers")
	store.SetFault(hgstore.Fault{})
	// The first node has died. Its peer writes the copy of its claim, so that a third node reads it.
	time.Sleep(2100 * time.Millisecond)
	if saved, left := second.SaveClaims(context.Background()); saved != 1 || left != 0 {
		t.Errorf("saved %d, left %d", saved, left)
	}
	third := newLedgerWithPeers(t, "d", store, &peers{})
	want(ask(third, "new", "5", false), hgledger.Granted, "one turn beside the claim")
	want(ask(third, "new", "6", false), hgledger.Granted, "one more turn, as the claim may be unused")
	want(ask(third, "new", "7", false), hgledger.Spent, "a turn beyond the budget")
}

// A program that a peer has served is not new: a node without a share of its budget grants nothing without the store.
func TestOutageKnownProgram(t *testing.T) {
	store := hgstore.NewMemory()
	second := newLedgerWithPeers(t, "b", store, &peers{})
	first := newLedgerWithPeers(t, "a", store, &peers{all: []*hgledger.Ledger{second}})
	q := hgledger.OpenRequest{Program: "p", Attempt: "1", Budget: 100, Most: 100, HasBudget: true}
	if v := second.Open(context.Background(), q).Verdict; v != hgledger.Granted {
		t.Fatal(v)
	}
	first.AddKnownPrograms(second.TakeNewPrograms(), false)
	q.Attempt, q.Offline = "2", true
	if v := first.Open(context.Background(), q).Verdict; v != hgledger.Outage {
		t.Errorf("verdict %s", v)
	}
}

// After an outage a node that does not know a program fetches from its peers the claims that are not yet in the row.
func TestOutageEnds(t *testing.T) {
	store := hgstore.NewMemory()
	all := &peers{}
	first, second := newLedgerWithPeers(t, "a", store, all), newLedgerWithPeers(t, "b", store, all)
	third := newLedgerWithPeers(t, "c", store, &peers{})
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
	// A claim of 100 tokens is unsaved. One turn fits beside it, and one more in case the claim is unused.
	q.Offline = false
	want(second, "2", hgledger.Granted)
	want(second, "3", hgledger.Granted)
	want(second, "4", hgledger.Spent)
	if saved, left := first.SaveClaims(context.Background()); saved != 1 || left != 0 || first.Unsaved() {
		t.Errorf("saved %d, left %d", saved, left)
	}
	want(newLedgerWithPeers(t, "d", store, &peers{}), "5", hgledger.Spent)
}

// Two nodes must not both claim tokens of a program's budget during an outage: a node without a share asks its peers
// for theirs.
func TestOutageTwoNodes(t *testing.T) {
	tests := map[string]bool{"new at both": false, "known at the other one only": true}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			store := hgstore.NewMemory()
			all := &peers{}
			first, second := newLedgerWithPeers(t, "a", store, all), newLedgerWithPeers(t, "b", store, &peers{})
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

// While partitions of the store do not answer, the turns of their programs are stored in alternate partitions.
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

// While a new program's home partition does not answer, it gets the tokens of one turn and no more. The budget holds even if all nodes
// are lost afterwards.
func TestSilentPartBudget(t *testing.T) {
	store := hgstore.NewMemory()
	first := newLedgerWithPeers(t, "a", store, &peers{all: []*hgledger.Ledger{newLedgerWithPeers(t, "b", store, &peers{})}})
	var silent []string
	for i := range 16 {
		if i%4 == 0 {
			silent = append(silent, fmt.Sprintf("%02d", i))
		}
	}
	store.SetFault(hgstore.Fault{Silent: silent})
	const budget, most, programs = 300, 100, 24
	delivered := map[string]int{}
	spend := func(l *hgledger.Ledger) {
		for p := range programs {
			program := fmt.Sprint("p", p)
			for range 4 {
				q := hgledger.OpenRequest{Program: program, Attempt: fmt.Sprint(program, delivered[program], len(delivered)), Budget: budget, Most: most, HasBudget: true}
				r := l.Open(context.Background(), q)
				if r.Verdict != hgledger.Granted {
					continue
				}
				delivered[program] += r.Most
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
		program := fmt.Sprint("p", p)
		isSilent := lo.Contains(silent, fmt.Sprintf("%02d", hgledger.Partition(program)))
		if n := delivered[program]; n < most || isSilent && n > most {
			t.Errorf("program %d, in a silent partition: %t, got %d tokens while partitions do not answer", p, isSilent, n)
		}
	}
	store.SetFault(hgstore.Fault{})
	for range 2 {
		spend(newLedger(t, fmt.Sprint("c", delivered["p0"]), store))
	}
	for p := range programs {
		if n := delivered[fmt.Sprint("p", p)]; n < budget || n > budget+most {
			t.Errorf("program %d got %d tokens of a budget of %d", p, n, budget)
		}
	}
}

// A ledger without the store grants tokens of the share that it has claimed before. While another ledger could claim
// more, it grants the whole maximum of a turn or nothing: a smaller grant could cut a turn that the other one lets run
// to its end.
func TestOutageWhole(t *testing.T) {
	tests := map[string]struct {
		used  int
		whole bool
		want  hgledger.Verdict
	}{
		"enough is left":                  {40, true, hgledger.Granted},
		"too little is left":              {180, true, hgledger.Outage},
		"too little, but no other ledger": {180, false, hgledger.Granted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store := hgstore.NewMemory()
			l := newLedgerWithPeers(t, "a", store, &peers{})
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
