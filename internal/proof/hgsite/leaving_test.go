package hgsite_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/proof/hgsite"
)

// chat returns a chat turn of program i.
func chat(i int) hgsite.Request {
	return hgsite.Turn(hgsite.ChatPath, fmt.Sprint("leaving ", i), "", "x")
}

// charge returns a charge with a unique body.
func charge(int) hgsite.Request {
	return hgsite.Request{Path: hgsite.ChargePath + "x", Body: hgsite.NewAttempt()}
}

// callUntilServedBy sends requests to VM 0 until the replica has received one. It returns the replica's number of arrivals.
// A replica in another failure domain gets about one in eight requests, so the number of requests that are sent leaves no
// room for chance.
func callUntilServedBy(t *testing.T, s *hgsite.Site, id string, request func(i int) hgsite.Request) (arrivals int) {
	t.Helper()
	const maxRequests = 300
	r := s.Replicas[id]
	before := r.Arrivals()
	for i := range maxRequests {
		call(t, s, 0, request(i))
		if n := r.Arrivals(); n > before {
			return n
		}
	}
	t.Fatalf("%s got no request", id)
	return 0
}

// A VM sends no more requests to a replica after any kind of answer announced that the replica is leaving, until the replica
// has a new incarnation or the VM restarts.
func TestLeavingReplicaSaysSoInAnswers(t *testing.T) {
	const requests = 60
	noChange := func(*testing.T, *hgsite.Site) {}
	tests := map[string]struct {
		id      string
		request func(i int) hgsite.Request
		fault   hgsite.Fault
		// then runs after the replica has announced that it is leaving.
		then func(t *testing.T, s *hgsite.Site)
		// servedAgain says whether the replica gets requests once the function in then has run.
		servedAgain bool
	}{
		"plain answer":       {"tool-0", charge, hgsite.Fault{}, noChange, false},
		"head of a stream":   {"engine-0", chat, hgsite.Fault{}, noChange, false},
		"refusal":            {"tool-0", charge, hgsite.Fault{Remaining: 1000, Refuse: true}, noChange, false},
		"failure":            {"tool-0", charge, hgsite.Fault{Remaining: 1000, Error: true}, noChange, false},
		"refusal of a turn":  {"engine-0", chat, hgsite.Fault{Remaining: 1000, Refuse: true}, noChange, false},
		"stream that breaks": {"engine-0", chat, hgsite.Fault{Remaining: 1000, CutAfterEvents: 2}, noChange, false},
		"store is away": {"tool-0", charge, hgsite.Fault{}, func(_ *testing.T, s *hgsite.Site) {
			outage(s, true)
		}, false},
		"listed as ready again": {"tool-0", charge, hgsite.Fault{}, func(t *testing.T, s *hgsite.Site) {
			register(t, s, "tool-0")
		}, false},
		"taken off the list and listed again": {"tool-0", charge, hgsite.Fault{}, func(t *testing.T, s *hgsite.Site) {
			if err := s.Unregister("tool-0"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(applyLimit)
			register(t, s, "tool-0")
			time.Sleep(applyLimit)
		}, false},
		"started anew at its address": {"tool-0", charge, hgsite.Fault{}, func(t *testing.T, s *hgsite.Site) {
			s.Replicas["tool-0"].SetLeaving(false)
			if err := s.RegisterRestart("tool-0"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(applyLimit)
		}, true},
		"the VM restarts": {"tool-0", charge, hgsite.Fault{}, func(t *testing.T, s *hgsite.Site) {
			s.Replicas["tool-0"].SetLeaving(false)
			s.Kill(0)
			restart(t, s, 0)
		}, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1)
			s.Replicas[tc.id].SetLeaving(true)
			s.Replicas[tc.id].SetFault(tc.fault)
			before := callUntilServedBy(t, s, tc.id, tc.request)
			tc.then(t, s)
			if tc.servedAgain {
				callUntilServedBy(t, s, tc.id, tc.request)
				return
			}
			for i := range requests {
				call(t, s, 0, tc.request(1000+i))
			}
			if n := s.Replicas[tc.id].Arrivals() - before; n > 0 {
				t.Errorf("%s got %d of %d requests after it announced that it is leaving", tc.id, n, requests)
			}
		})
	}
}

// Heartbeats tell the other VMs that a replica is leaving, so they stop sending to it without an announcement of its own.
func TestPeersHearThatReplicaLeaves(t *testing.T) {
	s := newSite(t, 3)
	r := s.Replicas["tool-0"]
	r.SetLeaving(true)
	before := callUntilServedBy(t, s, "tool-0", charge)
	time.Sleep(applyLimit)
	for i := range 60 {
		call(t, s, i%3, charge(i))
	}
	if n := r.Arrivals() - before; n > 0 {
		t.Errorf("the replica got %d of 60 requests after it announced that it is leaving", n)
	}
	r.SetLeaving(false)
	if err := s.RegisterRestart("tool-0"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(applyLimit)
	for i := range 60 {
		call(t, s, i%3, charge(i))
	}
	if r.Arrivals() == before {
		t.Error("the replica got no request after its restart")
	}
}

func register(t *testing.T, s *hgsite.Site, id string) {
	t.Helper()
	if err := s.Register(s.Replicas[id].Entry); err != nil {
		t.Fatal(err)
	}
}

// When all replicas of a service are leaving, requests are refused immediately with Retry-After.
func TestAllReplicasLeave(t *testing.T) {
	s := newSite(t, 1)
	for _, r := range s.Replicas {
		r.SetLeaving(true)
	}
	for i := 0; s.Replicas["tool-0"].Arrivals() == 0 || s.Replicas["tool-1"].Arrivals() == 0; i++ {
		if i == 200 {
			t.Fatal("a replica got no request")
		}
		call(t, s, 0, charge(i))
	}
	before := len(s.Runs(hgsite.Tools))
	reply := call(t, s, 0, charge(0))
	if reply.Status != http.StatusServiceUnavailable || reply.Header.Get("Retry-After") == "" || reply.Took > time.Second {
		t.Errorf("all replicas are leaving: status %d after %v, headers %v", reply.Status, reply.Took, reply.Header)
	}
	if n := len(s.Runs(hgsite.Tools)); n > before {
		t.Errorf("a leaving replica got a request")
	}
}

// Turns that are queued when the last replicas announce that they are leaving are refused immediately, not at their deadlines.
func TestWaitingTurnsAreRefusedWhenAllReplicasLeave(t *testing.T) {
	s := newSite(t, 1)
	const turns = 80
	for i := range turns {
		wantStream(t, call(t, s, 0, chat(i)))
	}
	for _, r := range s.Replicas {
		r.SetPause(150 * time.Millisecond)
		r.SetLeaving(true)
	}
	var mu sync.Mutex
	var refused []time.Duration
	var wg sync.WaitGroup
	for i := range turns {
		wg.Go(func() {
			reply := call(t, s, 0, chat(i))
			mu.Lock()
			defer mu.Unlock()
			if reply.Status == http.StatusServiceUnavailable {
				refused = append(refused, reply.Took)
			}
		})
	}
	wg.Wait()
	if longest := lo.Max(refused); len(refused) == 0 || longest > time.Second {
		t.Errorf("%d turns were refused, the last one after %v", len(refused), longest)
	}
}
