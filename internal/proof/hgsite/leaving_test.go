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

// chat returns a turn of a program of its own.
func chat(i int) hgsite.Request {
	return hgsite.Turn(hgsite.ChatPath, fmt.Sprint("leaving ", i), "", "x")
}

func charge(int) hgsite.Request {
	return hgsite.Request{Path: hgsite.ChargePath + "x", Body: hgsite.NewAttempt()}
}

// untilTold sends requests to a VM until a replica that leaves has answered one, and returns how many have come there.
func untilTold(t *testing.T, s *hgsite.Site, id string, request func(i int) hgsite.Request) (arrivals int) {
	t.Helper()
	r := s.Replicas[id]
	before := r.Arrivals()
	for i := range 200 {
		call(t, s, 0, request(i))
		if n := r.Arrivals(); n > before {
			return n
		}
	}
	t.Fatalf("%s got no request", id)
	return 0
}

func TestLeavingReplicaSaysSoInAnswers(t *testing.T) {
	const few = 30
	leaving := func(*testing.T, *hgsite.Site) {}
	tests := map[string]struct {
		id      string
		request func(i int) hgsite.Request
		fault   hgsite.Fault
		// then happens after the replica has said that it leaves.
		then func(t *testing.T, s *hgsite.Site)
		// served says that it gets requests again.
		served bool
	}{
		"plain answer":       {"tool-0", charge, hgsite.Fault{}, leaving, false},
		"head of a stream":   {"engine-0", chat, hgsite.Fault{}, leaving, false},
		"refusal":            {"tool-0", charge, hgsite.Fault{Left: 1000, Refuse: true}, leaving, false},
		"failure":            {"tool-0", charge, hgsite.Fault{Left: 1000, Error: true}, leaving, false},
		"refusal of a turn":  {"engine-0", chat, hgsite.Fault{Left: 1000, Refuse: true}, leaving, false},
		"stream that breaks": {"engine-0", chat, hgsite.Fault{Left: 1000, BreakAfter: 2}, leaving, false},
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
			time.Sleep(inForce)
			register(t, s, "tool-0")
			time.Sleep(inForce)
		}, false},
		"started anew at its address": {"tool-0", charge, hgsite.Fault{}, func(t *testing.T, s *hgsite.Site) {
			s.Replicas["tool-0"].SetLeaving(false)
			if err := s.Rebirth("tool-0"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(inForce)
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
			before := untilTold(t, s, tc.id, tc.request)
			tc.then(t, s)
			for i := range few {
				call(t, s, 0, tc.request(1000+i))
			}
			if n := s.Replicas[tc.id].Arrivals() - before; (n > 0) != tc.served {
				t.Errorf("%s got %d of %d requests since", tc.id, n, few)
			}
		})
	}
}

// Other VMs hear with heartbeats that a replica leaves, and send it nothing that it has to tell them first.
func TestPeersHearThatReplicaLeaves(t *testing.T) {
	s := newSite(t, 3)
	r := s.Replicas["tool-0"]
	r.SetLeaving(true)
	before := untilTold(t, s, "tool-0", charge)
	time.Sleep(inForce)
	for i := range 60 {
		call(t, s, i%3, charge(i))
	}
	if n := r.Arrivals() - before; n > 0 {
		t.Errorf("it got %d of 60 requests since", n)
	}
	r.SetLeaving(false)
	if err := s.Rebirth("tool-0"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(inForce)
	for i := range 60 {
		call(t, s, i%3, charge(i))
	}
	if r.Arrivals() == before {
		t.Error("it gets nothing after it has started again")
	}
}

func register(t *testing.T, s *hgsite.Site, id string) {
	t.Helper()
	if err := s.Register(s.Replicas[id].Entry); err != nil {
		t.Fatal(err)
	}
}

// When all replicas of a service say that they leave, requests are refused at once with a time to come back.
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
		t.Errorf("status %d after %v, %v", reply.Status, reply.Took, reply.Header)
	}
	if n := len(s.Runs(hgsite.Tools)); n > before {
		t.Errorf("sent to a replica that leaves")
	}
}

// Turns that wait for a place when the last replicas say that they leave are refused then, not when their time is up.
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
