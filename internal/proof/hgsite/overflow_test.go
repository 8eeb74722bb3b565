package hgsite_test

import (
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
)

// Guards against a replica that draws all requests of its service by a load that overflows.
func TestOddLoadDrawsNoRequests(t *testing.T) {
	const (
		requests = 200
		// far is a replica in another failure domain than the VM, and pause makes it the slower one, also on a busy machine.
		far   = "tool-0"
		pause = 20 * time.Millisecond
	)
	for name, load := range map[string]hgattempt.Answer{
		"greatest integer":        {HasLoad: true, Running: 1<<63 - 1, Slots: 8},
		"sum beyond integers":     {HasLoad: true, Running: 1<<63 - 1, Waiting: 1<<63 - 1, Slots: 8},
		"half of the greatest":    {HasLoad: true, Running: 1 << 62, Slots: 8},
		"product beyond integers": {HasLoad: true, Running: 1 << 45, Slots: 8},
		"negative":                {HasLoad: true, Running: -1 << 40, Slots: 8},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1)
			var mu sync.Mutex
			got := map[string]int{}
			useRawReplica(t, s, func(_ int, q rawRequest) (data string, ran, end bool) {
				if q.Replica == far {
					time.Sleep(pause)
				}
				mu.Lock()
				defer mu.Unlock()
				got[q.Replica]++
				a := hgattempt.Answer{AttemptID: q.ID, Sealed: true}
				if q.Replica == far {
					a.HasLoad, a.Running, a.Waiting, a.Slots = true, load.Running, load.Waiting, load.Slots
				}
				return rawHead("200 OK", a, "Content-Length: 4") + "done", true, false
			})
			for range requests {
				call(t, s, 0, hgsite.Request{Path: hgsite.ChargePath + "x", Body: "x"})
			}
			t.Logf("requests by replica: %v", got)
			if n := got[far]; n > requests/2 {
				t.Errorf("the replica with the odd load got %d of %d requests", n, requests)
			}
		})
	}
}

// The deadline of a request may lie beyond all times of the timer.
func TestLargestTimeoutEndsNoRequest(t *testing.T) {
	s := newSite(t, 1)
	desired := hgsite.Desired(2)
	for i := range desired.Routes {
		desired.Routes[i].Timeout = math.MaxInt64
	}
	if err := s.SetDesired(desired); err != nil {
		t.Fatal(err)
	}
	time.Sleep(applyLimit)
	for name, path := range map[string]string{"check": hgsite.CheckPath, "charge": hgsite.ChargePath, "chat": hgsite.ChatPath} {
		t.Run(name, func(t *testing.T) {
			if reply := callWithin(t, s, hgsite.Request{Path: path + "x", Body: "x"}, answerLimit); reply.Status != http.StatusOK {
				t.Errorf("status %d: %s", reply.Status, reply.Body)
			}
		})
	}
}
