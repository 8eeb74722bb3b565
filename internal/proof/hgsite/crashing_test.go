package hgsite_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

const (
	// maxCrashes is the number of replicas that a request may end, and maxRetries that of its runs afterwards.
	maxCrashes = 3
	maxRetries = 3
	// retryPause is the time after which a caller sends a request again.
	retryPause = 60 * time.Millisecond
)

// crashAll makes all replicas break off whatever they run.
func crashAll(s *hgsite.Site) {
	for _, r := range s.Replicas {
		r.SetFault(hgsite.Fault{Left: 1000, Lose: true})
	}
}

// wantBounded checks that the replicas of a service ran no more than what a crashing request may cost.
func wantBounded(t *testing.T, s *hgsite.Site, service string) {
	t.Helper()
	if n := len(s.Runs(service)); n > maxCrashes+maxRetries {
		t.Errorf("ran %d times, want %d and %d retries at most", n, maxCrashes, maxRetries)
	}
}

// sendAgain sends a request a number of times in turn through all VMs, and returns the last status.
func sendAgain(t *testing.T, s *hgsite.Site, times int, q hgsite.Request) (status int) {
	t.Helper()
	for i := range times {
		status = call(t, s, i%len(s.Nodes), q).Status
		time.Sleep(retryPause)
	}
	return status
}

// restartAll restarts the VMs one after the other.
func restartAll(t *testing.T, s *hgsite.Site) {
	t.Helper()
	for i := range s.Nodes {
		s.Kill(i)
		restart(t, s, i)
	}
}

// loseAll kills all VMs at once and starts them again.
func loseAll(t *testing.T, s *hgsite.Site) {
	t.Helper()
	for i := range s.Nodes {
		s.Kill(i)
	}
	for i := range s.Nodes {
		if err := s.RestartNode(i); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.WaitReady(readyLimit); err != nil {
		t.Fatal(err)
	}
}

func restart(t *testing.T, s *hgsite.Site, i int) {
	t.Helper()
	if err := s.RestartNode(i); err != nil {
		t.Fatal(err)
	}
	if err := s.WaitReady(readyLimit); err != nil {
		t.Fatal(err)
	}
}

var (
	crashingCharge = hgsite.Request{Path: hgsite.ChargePath + "x", Body: "guilty"}
	crashingCheck  = hgsite.Request{Path: hgsite.CheckPath + "x?id=1", Method: http.MethodGet}
)

func TestCrashingRequestWithoutBody(t *testing.T) {
	s := newSite(t, 3)
	crashAll(s)
	if status := sendAgain(t, s, 12, crashingCheck); status != http.StatusServiceUnavailable {
		t.Errorf("at last: status %d", status)
	}
	wantBounded(t, s, hgsite.Tools)
}

func TestCrashingRequestOverRestarts(t *testing.T) {
	s := newSite(t, 3)
	crashAll(s)
	for range 3 {
		sendAgain(t, s, 6, crashingCharge)
		restartAll(t, s)
	}
	sendAgain(t, s, 6, crashingCharge)
	wantBounded(t, s, hgsite.Tools)
}

func TestCrashingRequestThroughAddedVMs(t *testing.T) {
	s := newSite(t, 3)
	crashAll(s)
	sendAgain(t, s, 6, crashingCharge)
	for range 3 {
		i := len(s.Nodes)
		if err := s.AddNode(); err != nil {
			t.Fatal(err)
		}
		if err := s.WaitReady(readyLimit); err != nil {
			t.Fatal(err)
		}
		for range 5 {
			call(t, s, i, crashingCharge)
		}
	}
	wantBounded(t, s, hgsite.Tools)
}

func TestCrashingRequestOverTotalLoss(t *testing.T) {
	s := newSite(t, 3)
	crashAll(s)
	for range 3 {
		sendAgain(t, s, 6, crashingCharge)
		time.Sleep(time.Second)
		loseAll(t, s)
	}
	sendAgain(t, s, 6, crashingCharge)
	wantBounded(t, s, hgsite.Tools)
}

// The replicas that run the request fall silent and start again some time later, as the store tells.
func TestCrashingRequestThatEndsReplicasSilently(t *testing.T) {
	s := newSite(t, 3)
	for i := range 12 {
		for _, r := range s.Replicas {
			r.SetFault(hgsite.Fault{Left: 1000, Hang: true})
		}
		q := crashingCharge
		q.Deadline = 150 * time.Millisecond
		q.ID = hgsite.NewAttempt()
		call(t, s, i%3, q)
		for _, run := range s.Runs(hgsite.Tools) {
			if run.Attempt != q.ID {
				continue
			}
			if err := s.Rebirth(run.Replica); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(retryPause)
	}
	wantBounded(t, s, hgsite.Tools)
}

// Copies that were let in before the third replica ended are not sent to a second one.
func TestCrashingCopiesUnderWayAreCheckedAgain(t *testing.T) {
	s := newSite(t, 1)
	for _, r := range s.Replicas {
		r.SetFault(hgsite.Fault{Left: 1000, Lose: true, After: 200 * time.Millisecond})
	}
	const copies = 8
	q := crashingCheck
	q.Method, q.Body = http.MethodPost, "guilty"
	var wg sync.WaitGroup
	for range copies {
		wg.Go(func() { call(t, s, 0, q) })
	}
	wg.Wait()
	if n := len(s.Runs(hgsite.Tools)); n > copies+maxRetries {
		t.Errorf("%d copies ran %d times, want %d more at most", copies, n, maxRetries)
	}
}

// Requests that share a path with a crashing one of another caller are served all the while.
func TestInnocentsBesideCrashingRequestAreServed(t *testing.T) {
	s := newSite(t, 3)
	guilty := crashingCheck
	guilty.Program = "guilty"
	crash(s, func(r hgsite.Run) bool { return r.Program == guilty.Program })
	innocent := func(i int) {
		q := crashingCheck
		q.Program = "innocent"
		if reply := call(t, s, i%3, q); reply.Status != http.StatusOK {
			t.Errorf("an innocent request: status %d: %s", reply.Status, reply.Body)
		}
	}
	innocent(0)
	for i := range 12 {
		call(t, s, i%3, guilty)
		innocent(i + 1)
		time.Sleep(retryPause)
	}
	wantGuilty := 0
	for _, r := range s.Runs(hgsite.Tools) {
		if r.Program == guilty.Program {
			wantGuilty++
		}
	}
	if wantGuilty > maxCrashes+maxRetries {
		t.Errorf("the crashing request ran %d times", wantGuilty)
	}
}

// A whole service that breaks off for a time leaves no request refused once it is sound again.
func TestBrokenServiceLeavesNoRequestRefused(t *testing.T) {
	s := newSite(t, 3)
	crashAll(s)
	requests := []hgsite.Request{crashingCheck}
	for i := range 8 {
		q := crashingCharge
		q.Body = string(rune('a' + i))
		requests = append(requests, q)
	}
	for i := range 4 {
		for k, q := range requests {
			call(t, s, (i+k)%3, q)
		}
		time.Sleep(retryPause)
	}
	for _, r := range s.Replicas {
		r.SetFault(hgsite.Fault{})
	}
	time.Sleep(time.Second)
	for k, q := range requests {
		if reply := call(t, s, k%3, q); reply.Status != http.StatusOK {
			t.Errorf("request %d: status %d: %s", k, reply.Status, reply.Body)
		}
	}
}

// crash makes all replicas break off under some requests.
func crash(s *hgsite.Site, guilty func(r hgsite.Run) bool) {
	for _, r := range s.Replicas {
		r.SetFault(hgsite.Fault{Left: 1000, Lose: true, Only: guilty})
	}
}

// A replica that answers that it failed has not ended, but the request has not proved harmless either.
func TestFailureDoesNotClearCrashingRequest(t *testing.T) {
	s := newSite(t, 1)
	crashAll(s)
	sendAgain(t, s, 2, crashingCharge)
	for _, r := range s.Replicas {
		r.SetFault(hgsite.Fault{Left: 1, Error: true})
	}
	if reply := call(t, s, 0, crashingCharge); reply.Status != http.StatusInternalServerError {
		t.Fatalf("status %d, want the replica's failure", reply.Status)
	}
	crashAll(s)
	if status := sendAgain(t, s, 2, crashingCharge); status != http.StatusServiceUnavailable {
		t.Errorf("after three breaks and a failure: status %d", status)
	}
}
