package hgsite_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgsite"
)

// newSettledSite returns a site whose VMs have run for long enough to know that they know all others.
func newSettledSite(t *testing.T, nodes int) *hgsite.Site {
	t.Helper()
	s := newSite(t, nodes)
	time.Sleep(3500 * time.Millisecond)
	return s
}

// play sends the turns of a program one after the other, each through the next of some VMs, and returns how long each took. It
// ends at the first turn that is not served.
func play(t *testing.T, s *hgsite.Site, program string, turns int, q func(program string) hgsite.Request, vms ...int) (took []time.Duration) {
	t.Helper()
	for i := range turns {
		began := time.Now()
		reply := call(t, s, vms[i%len(vms)], q(program))
		if reply.Status != http.StatusOK || !reply.Complete {
			t.Errorf("turn %d of program %s: status %d after %v: %s", i, program, reply.Status, reply.Took, reply.Body)
			return took
		}
		took = append(took, time.Since(began))
	}
	return took
}

// longTurn returns a turn that may generate ten times as many tokens as it does.
func longTurn(program string) hgsite.Request {
	q := hgsite.Turn(hgsite.ChatPath, program, "", "x")
	q.MaxTokensOut = 10 * hgsite.Events * hgsite.TokensPerEvent
	q.Estimate = hgsite.Events * hgsite.TokensPerEvent
	return q
}

// Plays a load of new programs at the moment at which the store ceases to answer, or answers slowly. Each has three turns that
// may use up what is granted without a durable row, but do not. All are served, and no turn waits for the store.
func TestProgramsBeginWithoutStore(t *testing.T) {
	const (
		programs = 12
		turns    = 3
		// maxTime is well below the 800 ms for which a reservation waits for the store. A turn takes 10 ms.
		maxTime = 400 * time.Millisecond
	)
	// Callers mostly use the VMs of their own failure domain, such as 0 and 3.
	near, all := []int{0, 3}, []int{0, 1, 2, 3, 4, 5}
	hangs, slow := hgstore.Fault{Hang: true}, hgstore.Fault{DelayMs: 240}
	tests := map[string]struct {
		fault  hgstore.Fault
		before time.Duration
		vms    []int
	}{
		"store just ceased to answer":                  {hangs, 0, near},
		"store just ceased to answer, callers move":    {hangs, 0, all},
		"store has ceased to answer":                   {hangs, time.Second, near},
		"store has ceased to answer, callers move":     {hangs, time.Second, all},
		"store refuses":                                {hgstore.Fault{Down: true}, 0, near},
		"store answers slowly":                         {slow, 0, near},
		"store answers slowly, callers move":           {slow, 0, all},
		"store has answered slowly":                    {slow, 2 * time.Second, near},
		"store answers after the timeout of each call": {hgstore.Fault{DelayMs: 1000}, time.Second, near},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSettledSite(t, 6)
			s.Store.SetFault(tt.fault)
			time.Sleep(tt.before)
			var mu sync.Mutex
			var slow []time.Duration
			var wg sync.WaitGroup
			for i := range programs {
				wg.Go(func() {
					for _, took := range play(t, s, fmt.Sprint("p", i), turns, longTurn, tt.vms...) {
						mu.Lock()
						if took > maxTime {
							slow = append(slow, took)
						}
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			if len(slow) > 0 {
				t.Errorf("%d of %d turns took longer than %v: %v", len(slow), programs*turns, maxTime, slow)
			}
		})
	}
}

// While the store is unreachable, turns of a program that run at the same time share the tokens that are granted without a
// durable row, as each reserves what it is expected to need.
func TestParallelTurnsWithoutStore(t *testing.T) {
	const parallel = 3
	s := newSettledSite(t, 3)
	for _, r := range s.Replicas {
		r.SetPause(30 * time.Millisecond)
	}
	s.Store.SetFault(hgstore.Fault{Hang: true})
	time.Sleep(time.Second)
	play(t, s, "p", 1, longTurn, 0)
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() { play(t, s, "p", 1, longTurn, 0) })
	}
	wg.Wait()
}

// A turn whose reservation is smaller than its output goes on with what is left of the program's share, and is cut only where
// the share ends.
func TestReservationIsExtended(t *testing.T) {
	s := newSettledSite(t, 3)
	s.Store.SetFault(hgstore.Fault{Hang: true})
	time.Sleep(time.Second)
	q := hgsite.Turn(hgsite.ChatPath, "p", "", "x")
	q.MaxTokensOut, q.Estimate = 400, 10
	for _, r := range s.Replicas {
		r.SetEvents(30)
	}
	if reply := call(t, s, 0, q); reply.Status != http.StatusOK || !reply.Complete || len(reply.Events) != 30 {
		t.Errorf("turn of 300 tokens: status %d, complete %t, %d events", reply.Status, reply.Complete, len(reply.Events))
	}
	q = hgsite.Turn(hgsite.ChatPath, "p", "", "x")
	q.MaxTokensOut, q.Estimate = 400, 10
	if reply := call(t, s, 0, q); reply.Complete || len(reply.Events) > 10 {
		t.Errorf("turn of 300 tokens with 100 left: complete %t, %d events", reply.Complete, len(reply.Events))
	}
}

// Kept turns that end while the store is slow are stored side by side: each waits for its own transaction, not for those of
// other programs.
func TestKeptTurnsInSlowStore(t *testing.T) {
	const (
		programs = 40
		delay    = 240 * time.Millisecond
		// maxTime is the time of two transactions, which a turn may need to open and to be stored, and half of one.
		maxTime = 5 * delay / 2
	)
	s := newSettledSite(t, 6)
	thread := func(program string) hgsite.Request { return hgsite.Turn(hgsite.ThreadPath, program, "", "x") }
	for i := range programs {
		play(t, s, fmt.Sprint("p", i), 1, thread, 0)
	}
	s.Store.SetFault(hgstore.Fault{DelayMs: int(delay.Milliseconds())})
	time.Sleep(time.Second)
	var mu sync.Mutex
	var slow []time.Duration
	var wg sync.WaitGroup
	for i := range programs {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			for _, took := range play(t, s, fmt.Sprint("p", i), 2, thread, 3, 0) {
				mu.Lock()
				if took > maxTime {
					slow = append(slow, took)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if len(slow) > 0 {
		t.Errorf("%d of %d turns took longer than %v: %v", len(slow), 2*programs, maxTime, slow)
	}
}

// All VMs are lost while the store does not answer. They are ready soon after it answers again, and callers that come before
// are told to come back after a time that spans the rest of the outage in a few attempts.
func TestReadyWhenStoreIsBack(t *testing.T) {
	s := newSite(t, 3)
	s.Store.SetFault(hgstore.Fault{Hang: true})
	for i := range s.Nodes {
		s.Kill(i)
	}
	for i := range s.Nodes {
		if err := s.RestartNode(i); err != nil {
			t.Fatal(err)
		}
	}
	// The first calls to the store have timed out and the second ones, which the store will not answer, have just been sent when
	// the store is back.
	time.Sleep(time.Second)
	reply := call(t, s, 0, chat(0))
	if reply.Status != http.StatusServiceUnavailable || reply.RetryAfter() < 700*time.Millisecond {
		t.Errorf("VM without a desired state: status %d, back after %v", reply.Status, reply.RetryAfter())
	}
	s.Store.SetFault(hgstore.Fault{})
	// maxTime is less than the 900 ms after which a call that was sent before the store was back times out.
	const maxTime = 800 * time.Millisecond
	time.Sleep(maxTime)
	for i, n := range s.Nodes {
		if !n.Ready(0) {
			t.Errorf("VM %d is not ready %v after the store is back", i, maxTime)
		}
	}
}

// Guards against streams that are cut near the end of a budget because their reservation was smaller than their output, although the
// store answers.
func TestTurnsNearEndOfBudgetAreNotCutInSlowStore(t *testing.T) {
	const (
		programs = 8
		parallel = 6
		events   = 20
	)
	for name, vms := range map[string][]int{"one VM": {0}, "VMs of one domain": {0, 3}, "all VMs": {0, 1, 2, 3, 4, 5}} {
		t.Run(name, func(t *testing.T) {
			s := newSettledSite(t, 6)
			for _, r := range s.Replicas {
				r.SetEvents(events)
			}
			s.Store.SetFault(hgstore.Fault{DelayMs: 70})
			time.Sleep(500 * time.Millisecond)
			var wg sync.WaitGroup
			for p := range programs {
				for i := range parallel {
					wg.Go(func() {
						q := hgsite.Turn(hgsite.ChatPath, fmt.Sprint("p", p), "", "x")
						q.MaxTokensOut, q.Estimate = events*hgsite.TokensPerEvent, 10
						q.Budget = 5 * q.MaxTokensOut / 2
						time.Sleep(time.Duration(i) * 40 * time.Millisecond)
						if reply := call(t, s, vms[(p+i)%len(vms)], q); reply.Status == http.StatusOK && !reply.Complete {
							t.Errorf("program %d, turn %d: cut after %d events", p, i, len(reply.Events))
						}
					})
				}
			}
			wg.Wait()
		})
	}
}
