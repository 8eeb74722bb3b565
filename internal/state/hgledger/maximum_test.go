package hgledger_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgreach"
)

// Guards against streams that are cut because their reservation ends before the turn's maximum, although the store answers.
func TestGrantedTurnReachesItsMaximum(t *testing.T) {
	const (
		most  = 300
		seeds = 300
		steps = 30
	)
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 34))
		store := hgstore.NewMemory()
		state := hgreach.Slow
		timer := hgtimer.NewService()
		l := hgledger.NewLedger("a", store, timer, hglog.Discard(), hgledger.WithRetryAfter(time.Millisecond), hgledger.WithAllProgramsKnown(true),
			hgledger.WithBackup(&peers{all: []*hgledger.Ledger{newLedgerWithPeers(t, "b", store, &peers{})}}),
			hgledger.WithReachability(func() hgreach.State { return state }))
		budget := most + r.IntN(5*most)
		running := map[string]hgledger.OpenReply{}
		for step := range steps {
			state = []hgreach.State{hgreach.Slow, hgreach.Reachable}[r.IntN(2)]
			switch r.IntN(4) {
			case 0, 1:
				id := fmt.Sprint(step)
				q := hgledger.OpenRequest{Program: "p", Attempt: id, Budget: budget, Most: most, HasBudget: true, Extendable: true, Estimate: r.IntN(most)}
				if reply := l.Open(t.Context(), q); reply.Verdict == hgledger.Granted {
					running[id] = reply
				}
			case 2:
				for id, reply := range running {
					if rest := most - reply.Most; rest > 0 {
						reply.Most += l.Extend(t.Context(), hgledger.ExtendRequest{Program: "p", Attempt: id, Holder: reply.Holder, Budget: budget, Tokens: rest}).Tokens
					}
					if reply.Most < most {
						t.Errorf("seed %d, step %d: turn %s of a budget of %d ends at %d of %d tokens", seed, step, id, budget, reply.Most, most)
					}
					if err := l.Close(t.Context(), hgledger.CloseRequest{Program: "p", Attempt: id, Holder: reply.Holder, Used: r.IntN(most + 1)}); err != nil {
						t.Fatal(err)
					}
					delete(running, id)
					break
				}
			case 3:
				if r.IntN(5) == 0 {
					l.ReturnUnused(t.Context())
				}
			}
		}
		timer.Close()
	}
}
