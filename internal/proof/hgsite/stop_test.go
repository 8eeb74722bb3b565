package hgsite_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgsite"
)

// An answer that begins after the stop must tell its caller to reconnect, also if its request came before.
func TestAnswerInProgressAnnouncesStop(t *testing.T) {
	s := newSite(t, 2)
	for _, r := range s.Replicas {
		r.SetPause(500 * time.Millisecond)
	}
	done := make(chan hgsite.Reply, 1)
	go func() {
		reply, err := s.Call(context.Background(), 0, hgsite.Request{Path: hgsite.ChargePath + "x", Body: "x"})
		if err != nil {
			t.Error(err)
		}
		done <- reply
	}()
	time.Sleep(100 * time.Millisecond)
	go s.Nodes[0].Stop()
	if reply := <-done; reply.Status != http.StatusOK || !reply.Closes {
		t.Errorf("status %d, announced: %t", reply.Status, reply.Closes)
	}
}

// enteredVM and stoppingVM are in one failure domain, so that the programs that enter at the first are owned by either.
const (
	enteredVM  = 0
	stoppingVM = 3
)

// Guards against streams that are cut because the VM that extends their reservation has stopped.
func TestTurnsAreNotCutWhenOwnerStops(t *testing.T) {
	const (
		programs = 14
		events   = 30
		pause    = 125 * time.Millisecond
		timeout  = 10 * time.Second
	)
	s := newSettledSite(t, 6)
	d := hgsite.Desired(2)
	for i := range d.Routes {
		d.Routes[i].Timeout = timeout
	}
	if err := s.SetDesired(d); err != nil {
		t.Fatal(err)
	}
	time.Sleep(applyLimit)
	for _, r := range s.Replicas {
		r.SetEvents(events)
		r.SetPause(pause)
	}
	s.Store.SetFault(hgstore.Fault{DelayMs: 70})
	time.Sleep(500 * time.Millisecond)
	var wg sync.WaitGroup
	for p := range programs {
		wg.Go(func() {
			q := hgsite.Turn(hgsite.ChatPath, fmt.Sprint("p", p), "", "x")
			q.MaxTokensOut, q.Estimate, q.Deadline = events*hgsite.TokensPerEvent, hgsite.TokensPerEvent, timeout
			q.Budget = 2 * q.MaxTokensOut
			if reply := call(t, s, enteredVM, q); reply.Status != http.StatusOK || !reply.Complete {
				t.Errorf("program %d: status %d, cut after %d events", p, reply.Status, len(reply.Events))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	s.Nodes[stoppingVM].Stop()
	wg.Wait()
}

// Guards against budgets that a stop leaves claimed for turns that were under way and ended with fewer tokens.
func TestStopReturnsBudgetOfTurnsUnderWay(t *testing.T) {
	const (
		programs = 6
		parallel = 2
		most     = 400
	)
	s := newSettledSite(t, 6)
	set := func(events int, pause time.Duration) {
		for _, r := range s.Replicas {
			r.SetEvents(events)
			r.SetPause(pause)
		}
	}
	turn := func(p int) {
		q := hgsite.Turn(hgsite.ChatPath, fmt.Sprint("p", p), "", "x")
		q.MaxTokensOut, q.Budget = most, 5*most/2
		if reply := call(t, s, enteredVM, q); reply.Status != http.StatusOK || !reply.Complete {
			t.Errorf("program %d: status %d: %s", p, reply.Status, reply.Body)
		}
	}
	set(5, 300*time.Millisecond)
	var wg sync.WaitGroup
	for p := range programs {
		for range parallel {
			wg.Go(func() { turn(p) })
		}
	}
	time.Sleep(300 * time.Millisecond)
	s.Nodes[stoppingVM].Stop()
	wg.Wait()
	set(25, time.Millisecond)
	for p := range programs {
		turn(p)
		turn(p)
	}
}
