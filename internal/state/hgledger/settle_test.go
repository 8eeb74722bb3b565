package hgledger_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgreach"
)

// Guards against reservations that are never released because other turns of the program waited for the store when their turn ended.
func TestTurnIsSettledBesideTurnsThatWaitForStore(t *testing.T) {
	const (
		most     = 1000
		budget   = 20 * most
		parallel = 5
		delayMs  = 780
	)
	store := hgstore.NewMemory()
	timer := hgtimer.NewService()
	defer timer.Close()
	l := hgledger.NewLedger("a", store, timer, hglog.Discard(), hgledger.WithRetryAfter(time.Millisecond), hgledger.WithAllProgramsKnown(true),
		hgledger.WithBackup(&peers{all: []*hgledger.Ledger{newLedgerWithPeers(t, "b", store, &peers{})}}),
		hgledger.WithReachability(func() hgreach.State { return hgreach.Slow }))
	extend := func(attempt string, tokens int) int {
		return l.Extend(t.Context(), hgledger.ExtendRequest{Program: "p", Attempt: attempt, Holder: "a", Budget: budget, Tokens: tokens}).Tokens
	}
	for i := range parallel {
		q := hgledger.OpenRequest{Program: "p", Attempt: fmt.Sprint(i), Budget: budget, Most: most, HasBudget: true, Extendable: true, Estimate: most / 10}
		if reply := l.Open(t.Context(), q); reply.Verdict != hgledger.Granted {
			t.Fatalf("turn %d: %s", i, reply.Verdict)
		}
	}
	store.SetFault(hgstore.Fault{DelayMs: delayMs})
	var wg sync.WaitGroup
	for i := 1; i < parallel; i++ {
		wg.Go(func() { extend(fmt.Sprint(i), most) })
	}
	time.Sleep(50 * time.Millisecond)
	if err := l.Close(t.Context(), hgledger.CloseRequest{Program: "p", Attempt: "0", Holder: "a", Used: 1}); err != nil {
		t.Error(err)
	}
	wg.Wait()
	store.SetFault(hgstore.Fault{})
	time.Sleep(100 * time.Millisecond)
	if tokens := extend("0", 1); tokens != 0 {
		t.Error("the turn that has ended still holds its reservation")
	}
}
