package hgsite_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"hyssopgrade/hgcodec"
	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgsuspect"
)

const (
	// maxCrashes is the number of replicas that a request may crash before it is refused, and maxRetries the number of
	// further runs that it may get as its refusals expire.
	maxCrashes = 3
	maxRetries = 3
	// retryPause is the time between two sends of the same request.
	retryPause = 60 * time.Millisecond
)

// crashAll makes all replicas drop the connection of every request.
func crashAll(s *hgsite.Site) {
	for _, r := range s.Replicas {
		r.SetFault(hgsite.Fault{Remaining: 1000, DropConnection: true})
	}
}

// wantBounded checks that a service ran the crashing request no more often than maxCrashes and maxRetries allow.
func wantBounded(t *testing.T, s *hgsite.Site, service string) {
	t.Helper()
	if n := len(s.Runs(service)); n > maxCrashes+maxRetries {
		t.Errorf("the crashing request ran %d times, want %d and %d retries at most", n, maxCrashes, maxRetries)
	}
}

// sendRepeatedly sends a request several times, through the VMs in turn, and returns the last status.
func sendRepeatedly(t *testing.T, s *hgsite.Site, times int, q hgsite.Request) (status int) {
	t.Helper()
	for i := range times {
		status = call(t, s, i%len(s.Nodes), q).Status
		time.Sleep(retryPause)
	}
	return status
}

// restartAll kills and restarts the VMs one at a time.
func restartAll(t *testing.T, s *hgsite.Site) {
	t.Helper()
	for i := range s.Nodes {
		s.Kill(i)
		restart(t, s, i)
	}
}

// restartAllAtOnce kills all VMs and then starts them again, so that no VM keeps its memory.
func restartAllAtOnce(t *testing.T, s *hgsite.Site) {
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
	crashingCharge = hgsite.Request{Path: hgsite.ChargePath + "x", Body: "crashing"}
	crashingCheck  = hgsite.Request{Path: hgsite.CheckPath + "x?id=1", Method: http.MethodGet}
)

func TestCrashingRequestWithoutBody(t *testing.T) {
	s := newSite(t, 3)
	crashAll(s)
	if status := sendRepeatedly(t, s, 12, crashingCheck); status != http.StatusServiceUnavailable {
		t.Errorf("last send: status %d", status)
	}
	wantBounded(t, s, hgsite.Tools)
}

func TestCrashingRequestOverRestarts(t *testing.T) {
	s := newSite(t, 3)
	crashAll(s)
	for range 3 {
		sendRepeatedly(t, s, 6, crashingCharge)
		restartAll(t, s)
	}
	sendRepeatedly(t, s, 6, crashingCharge)
	wantBounded(t, s, hgsite.Tools)
}

func TestCrashingRequestThroughAddedVMs(t *testing.T) {
	s := newSite(t, 3)
	crashAll(s)
	sendRepeatedly(t, s, 6, crashingCharge)
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
		sendRepeatedly(t, s, 6, crashingCharge)
		time.Sleep(time.Second)
		restartAllAtOnce(t, s)
	}
	sendRepeatedly(t, s, 6, crashingCharge)
	wantBounded(t, s, hgsite.Tools)
}

// A request can crash replicas without a broken connection: they hang, and the store later lists new incarnations of them.
// Such crashes count as well.
func TestCrashingRequestThatEndsReplicasSilently(t *testing.T) {
	s := newSite(t, 3)
	for i := range 12 {
		for _, r := range s.Replicas {
			r.SetFault(hgsite.Fault{Remaining: 1000, Hang: true})
		}
		q := crashingCharge
		q.Deadline = 150 * time.Millisecond
		q.ID = hgsite.NewAttempt()
		call(t, s, i%3, q)
		for _, run := range s.Runs(hgsite.Tools) {
			if run.Attempt != q.ID {
				continue
			}
			if err := s.RegisterRestart(run.Replica); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(retryPause)
	}
	wantBounded(t, s, hgsite.Tools)
}

// Copies of a crashing request that were admitted before the third crash are checked again before a retry, so they are not
// sent to a second replica.
func TestCrashingCopiesUnderWayAreCheckedAgain(t *testing.T) {
	s := newSite(t, 1)
	for _, r := range s.Replicas {
		r.SetFault(hgsite.Fault{Remaining: 1000, DropConnection: true, DropAfter: 200 * time.Millisecond})
	}
	const copies = 8
	q := crashingCheck
	q.Method, q.Body = http.MethodPost, "crashing"
	var wg sync.WaitGroup
	for range copies {
		wg.Go(func() { call(t, s, 0, q) })
	}
	wg.Wait()
	if n := len(s.Runs(hgsite.Tools)); n > copies+maxRetries {
		t.Errorf("%d copies ran %d times, want %d more at most", copies, n, maxRetries)
	}
}

// Requests with the same content as a crashing request of another program are served throughout.
func TestOtherRequestsServedBesideCrashingRequest(t *testing.T) {
	s := newSite(t, 3)
	crashing := crashingCheck
	crashing.Program = "crashing"
	crashOn(s, func(r hgsite.Run) bool { return r.Program == crashing.Program })
	harmless := func(i int) {
		q := crashingCheck
		q.Program = "harmless"
		if reply := call(t, s, i%3, q); reply.Status != http.StatusOK {
			t.Errorf("a harmless request: status %d: %s", reply.Status, reply.Body)
		}
	}
	harmless(0)
	for i := range 12 {
		call(t, s, i%3, crashing)
		harmless(i + 1)
		time.Sleep(retryPause)
	}
	crashingRuns := 0
	for _, r := range s.Runs(hgsite.Tools) {
		if r.Program == crashing.Program {
			crashingRuns++
		}
	}
	if crashingRuns > maxCrashes+maxRetries {
		t.Errorf("the crashing request ran %d times", crashingRuns)
	}
}

// When all replicas of a service crash on every request, no request is to blame. Once the service has recovered, every request
// is served again.
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

// crashOn makes all replicas drop the connections of the requests that crashing selects.
func crashOn(s *hgsite.Site, crashing func(r hgsite.Run) bool) {
	for _, r := range s.Replicas {
		r.SetFault(hgsite.Fault{Remaining: 1000, DropConnection: true, Match: crashing})
	}
}

// An answer with status 500 shows that the replica has not crashed, but it does not clear the request of earlier crashes.
func TestFailureDoesNotClearCrashingRequest(t *testing.T) {
	s := newSite(t, 1)
	crashAll(s)
	sendRepeatedly(t, s, 2, crashingCharge)
	for _, r := range s.Replicas {
		r.SetFault(hgsite.Fault{Remaining: 1, Error: true})
	}
	if reply := call(t, s, 0, crashingCharge); reply.Status != http.StatusInternalServerError {
		t.Fatalf("status %d, want that of the replica, 500", reply.Status)
	}
	crashAll(s)
	if status := sendRepeatedly(t, s, 2, crashingCharge); status != http.StatusServiceUnavailable {
		t.Errorf("after three crashes and an answer with status 500: status %d", status)
	}
}

// Guards against a VM that has just started and replaces the row of a request with the one crash that it has seen, before it has read the
// table.
func TestStartingVMReplacesNoSavedCrashes(t *testing.T) {
	const slow = time.Second
	s := newSite(t, 1)
	crashAll(s)
	sendRepeatedly(t, s, 6, crashingCharge)
	time.Sleep(time.Second)
	if n := savedCrashes(t, s); n < maxCrashes {
		t.Fatalf("%d crashes are saved, want %d", n, maxCrashes)
	}
	s.Kill(0)
	s.SetSlow("hgnode", slow)
	if err := s.RestartNode(0); err != nil {
		t.Fatal(err)
	}
	q := crashingCharge
	q.NewConn = true
	call(t, s, 0, q)
	time.Sleep(slow)
	s.SetSlow("", 0)
	time.Sleep(slow)
	if n := savedCrashes(t, s); n < maxCrashes {
		t.Errorf("%d crashes are saved after the start, want %d", n, maxCrashes)
	}
}

// savedCrashes returns the largest number of crashes that the row of a request holds.
func savedCrashes(t *testing.T, s *hgsite.Site) (most int) {
	t.Helper()
	rows, _, err := s.Store.List(t.Context(), "hgnode//suspect-")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		row, err := (hgcodec.JSON[hgsuspect.Row]{}).Decode(r.Value)
		if err != nil {
			t.Fatal(err)
		}
		most = max(most, len(row.Breaks))
	}
	return most
}
