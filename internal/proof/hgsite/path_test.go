package hgsite_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgdesired"
	hgplatform "hyssopgrade/platform"
)

const (
	// readyLimit is the time within which a site must be ready; VMs have ten seconds before they get traffic.
	readyLimit = 8 * time.Second
	// applyLimit is the time within which a change of the desired state or of a registration must take effect.
	applyLimit = 2 * time.Second
)

func newSite(t *testing.T, nodes int) *hgsite.Site {
	t.Helper()
	s, err := hgsite.NewSite(nodes, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if err := s.WaitReady(readyLimit); err != nil {
		t.Fatal(err)
	}
	return s
}

func call(t *testing.T, s *hgsite.Site, node int, q hgsite.Request) hgsite.Reply {
	t.Helper()
	reply, err := s.Call(context.Background(), node, q)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// eventData returns the data of the first n events of a stream.
func eventData(n int) (all []string) {
	for i := 1; i <= n; i++ {
		all = append(all, hgsite.Event(i))
	}
	return all
}

// wantStream checks that a reply is a complete stream.
func wantStream(t *testing.T, reply hgsite.Reply) {
	t.Helper()
	if reply.Status != http.StatusOK || !reply.Complete {
		t.Fatalf("status %d, complete %v: %s", reply.Status, reply.Complete, reply.Body)
	}
	if diff := cmp.Diff(eventData(hgsite.Events), reply.Events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// Turns of one program enter through any VM, also in parallel from a common previous turn, and reach engines with the complete
// history as prompt.
func TestProgramOverAllVMs(t *testing.T) {
	s := newSite(t, 3)
	output := s.Replicas["engine-0"].Output()
	want := ""
	previous := ""
	for i := range 6 {
		q := hgsite.Turn(hgsite.ThreadPath, "p", previous, fmt.Sprintf("input%d ", i))
		wantStream(t, call(t, s, i%3, q))
		want += q.Body
		if got := bodyOf(s, q.ID); got != want {
			t.Fatalf("turn %d: engine read %q, want %q", i, got, want)
		}
		want += output
		previous = q.ID
	}
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			q := hgsite.Turn(hgsite.ThreadPath, "p", previous, fmt.Sprintf("helper%d ", i))
			reply, err := s.Call(context.Background(), i%3, q)
			if err != nil || reply.Status != http.StatusOK || bodyOf(s, q.ID) != want+q.Body {
				t.Errorf("helper %d: %d %v", i, reply.Status, err)
			}
		})
	}
	wg.Wait()
}

// bodyOf returns the prompt with which an attempt reached an engine.
func bodyOf(s *hgsite.Site, attempt string) string {
	run, _ := lo.Find(s.Runs(hgsite.Engines), func(r hgsite.Run) bool { return r.Attempt == attempt })
	return run.Body
}

func TestAnswers(t *testing.T) {
	s := newSite(t, 1)
	turn := hgsite.Turn(hgsite.ThreadPath, "q", "none", "x")
	spent := hgsite.Turn(hgsite.ChatPath, "r", "", "x")
	spent.Budget = spent.MaxTokensOut - 1
	tests := map[string]struct {
		q      hgsite.Request
		status int
	}{
		"no route":        {hgsite.Request{Path: "/none/x"}, http.StatusNotFound},
		"no such turn":    {turn, http.StatusNotFound},
		"spent":           {spent, http.StatusPaymentRequired},
		"body too large":  {hgsite.Request{Path: hgsite.ChargePath, Body: strings.Repeat("x", 1<<20+1)}, http.StatusRequestEntityTooLarge},
		"unreadable time": {hgsite.Request{Path: hgsite.ChargePath, Header: hgplatform.MalformedDeadline()}, http.StatusBadRequest},
		"check":           {hgsite.Request{Path: hgsite.CheckPath, Method: http.MethodGet}, http.StatusOK},
		"charge":          {hgsite.Request{Path: hgsite.ChargePath + "a%2Fb?x=1&&y=%20", Body: "pay"}, http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if reply := call(t, s, 0, tt.q); reply.Status != tt.status {
				t.Errorf("status %d, want %d: %s", reply.Status, tt.status, reply.Body)
			}
		})
	}
	want := []string{hgsite.ChargePath + "a%2Fb?x=1&&y=%20", hgsite.CheckPath}
	got := lo.Map(s.Runs(hgsite.Tools), func(r hgsite.Run, _ int) string { return r.URI })
	if !lo.ElementsMatch(want, got) {
		t.Errorf("services ran %q, want %q", got, want)
	}
}

// Headers that only the system may set are removed from callers' requests before they reach a replica.
func TestForgedHeaders(t *testing.T) {
	s := newSite(t, 1)
	q := hgsite.Turn(hgsite.ChatPath, "p", "", "x")
	q.Header = http.Header{}
	hgplatform.ForgeSystemHeaders(q.Header)
	wantStream(t, call(t, s, 0, q))
	for _, r := range s.Runs(hgsite.Engines) {
		if len(r.Forged) > 0 {
			t.Errorf("%s got the forged headers %q", r.Replica, r.Forged)
		}
	}
}

func TestReplicaFaults(t *testing.T) {
	everywhere := func(s *hgsite.Site, f hgsite.Fault) {
		for _, r := range s.Replicas {
			r.SetFault(f)
		}
	}
	tests := map[string]struct {
		path   string
		fault  hgsite.Fault
		status int
		// maxRuns is the number of times that the request may run.
		maxRuns int
	}{
		"stream resumes":              {hgsite.ChatPath, hgsite.Fault{Remaining: 1, CutAfterEvents: 2}, http.StatusOK, 2},
		"stream starts again":         {hgsite.ChatPath, hgsite.Fault{Remaining: 1, CutAfterHeaders: true}, http.StatusOK, 2},
		"kept stream loses its start": {hgsite.ThreadPath, hgsite.Fault{Remaining: 1, CutAfterHeaders: true}, http.StatusBadGateway, 1},
		"refused everywhere":          {hgsite.ThreadPath, hgsite.Fault{Remaining: 9, Refuse: true}, http.StatusServiceUnavailable, 0},
		"check is repeated":           {hgsite.CheckPath, hgsite.Fault{Remaining: 1, DropConnection: true}, http.StatusOK, 2},
		"charge is not repeated":      {hgsite.ChargePath, hgsite.Fault{Remaining: 1, DropConnection: true}, http.StatusBadGateway, 1},
		"charge refused goes on":      {hgsite.ChargePath, hgsite.Fault{Remaining: 1, Refuse: true}, http.StatusOK, 1},
		"refusal of another request":  {hgsite.ChargePath, hgsite.Fault{Remaining: 9, RefuseWrongAttemptID: true}, http.StatusBadGateway, 1},
		"answer of another request":   {hgsite.ChargePath, hgsite.Fault{Remaining: 1, WrongAttemptID: true}, http.StatusBadGateway, 1},
	}
	s := newSite(t, 1)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			defer everywhere(s, hgsite.Fault{})
			if tt.fault.Remaining == 1 && tt.maxRuns == 2 || tt.status == http.StatusOK {
				// Only one replica of each service is faulty; engine-0 is tried first, as it is in the VM's failure domain.
				s.Replicas["engine-0"].SetFault(tt.fault)
				s.Replicas["tool-0"].SetFault(tt.fault)
			} else {
				everywhere(s, tt.fault)
			}
			q := hgsite.Turn(tt.path, "p"+name, "", "x")
			reply := call(t, s, 0, q)
			if reply.Status != tt.status {
				t.Errorf("status %d, want %d: %s", reply.Status, tt.status, reply.Body)
			}
			if reply.Status != http.StatusOK && hgplatform.Sealed(reply.Header) {
				t.Error("an answer made by the VM carries a replica's seal")
			}
			if reply.Status == http.StatusOK && len(reply.Events) > 0 {
				wantStream(t, reply)
			}
			runs := lo.CountBy(append(s.Runs(hgsite.Engines), s.Runs(hgsite.Tools)...), func(r hgsite.Run) bool { return r.Attempt == q.ID })
			if runs > tt.maxRuns {
				t.Errorf("ran %d times, want %d at most", runs, tt.maxRuns)
			}
		})
	}
}

func TestDesiredStateInForce(t *testing.T) {
	s := newSite(t, 2)
	d := hgsite.Desired(5)
	d.Routes = append(d.Routes, hgdesired.Route{
		Name: "new", Host: hgsite.Host, PathPrefix: "/new/", Kind: hgdesired.AtMostOnce, Timeout: time.Second, MaxAttempts: 1,
		Shares: []hgdesired.Share{{Service: hgsite.Tools, Weight: 1000}},
	})
	if err := s.SetDesired(d); err != nil {
		t.Fatal(err)
	}
	time.Sleep(applyLimit)
	for node := range s.Nodes {
		if reply := call(t, s, node, hgsite.Request{Path: "/new/x"}); reply.Status != http.StatusOK {
			t.Errorf("VM %d: status %d", node, reply.Status)
		}
	}
	// A state with an older version is ignored, like one that cannot be read.
	if err := s.SetDesired(hgsite.Desired(4)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(applyLimit)
	if reply := call(t, s, 0, hgsite.Request{Path: "/new/x"}); reply.Status != http.StatusOK {
		t.Errorf("after an older version: status %d", reply.Status)
	}
}

// A replica whose registration marks it as leaving gets no requests, also when the store has dropped its change history, so
// that VMs have to list the table again.
func TestLeavingReplica(t *testing.T) {
	s := newSite(t, 2)
	e := s.Replicas["tool-0"].Entry
	e.Leaving = true
	s.Store.DropHistory()
	if err := s.Register(e); err != nil {
		t.Fatal(err)
	}
	time.Sleep(applyLimit)
	before := len(s.Replicas["tool-0"].Runs())
	for i := range 40 {
		call(t, s, i%2, hgsite.Request{Path: hgsite.CheckPath, Method: http.MethodGet})
	}
	if after := len(s.Replicas["tool-0"].Runs()); after != before {
		t.Errorf("a leaving replica got %d requests", after-before)
	}
}

// Retained turns and exhausted budgets survive the loss of all VMs at once.
func TestTotalLoss(t *testing.T) {
	s := newSite(t, 3)
	kept := hgsite.Turn(hgsite.ThreadPath, "kept", "", "first ")
	wantStream(t, call(t, s, 0, kept))
	stopped := func() hgsite.Request {
		q := hgsite.Turn(hgsite.ChatPath, "stopped", "", "x")
		q.Budget = q.MaxTokensOut
		return q
	}
	for range 6 {
		call(t, s, 1, stopped())
	}
	if reply := call(t, s, 2, stopped()); reply.Status != http.StatusPaymentRequired {
		t.Fatalf("the budget is not spent: status %d", reply.Status)
	}
	restartAllAtOnce(t, s)
	if reply := call(t, s, 0, stopped()); reply.Status != http.StatusPaymentRequired {
		t.Errorf("a stopped program after the loss of all VMs: status %d", reply.Status)
	}
	for i, program := range []string{"kept", "another"} {
		next := hgsite.Turn(hgsite.ThreadPath, program, kept.ID, "second")
		wantStream(t, call(t, s, i, next))
		if got, want := bodyOf(s, next.ID), "first "+s.Replicas["engine-0"].Output()+"second"; got != want {
			t.Errorf("%s: engine read %q, want %q", program, got, want)
		}
	}
}

// A graceful stop breaks no request, including those of callers that keep sending to the stopping VM.
func TestGracefulStop(t *testing.T) {
	s := newSite(t, 2)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Nodes[0].Stop()
	}()
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			reply, err := s.Call(context.Background(), 0, hgsite.Turn(hgsite.ThreadPath, fmt.Sprint("p", i), "", "x"))
			if err != nil || reply.Status != http.StatusOK || !reply.Complete {
				t.Errorf("request %d: %v, status %d", i, err, reply.Status)
			}
		})
	}
	wg.Wait()
	<-done
}

// A request that crashes every replica that runs it runs on three replicas at most, whichever VMs it is sent through.
func TestCrashingRequest(t *testing.T) {
	s := newSite(t, 3)
	for _, r := range s.Replicas {
		r.SetFault(hgsite.Fault{Remaining: 100, DropConnection: true})
	}
	for i := range 8 {
		q := hgsite.Request{Path: hgsite.ChargePath + "x", Body: "crashing"}
		if reply := call(t, s, i%3, q); i >= 4 && reply.Status != http.StatusServiceUnavailable {
			t.Errorf("try %d: status %d", i, reply.Status)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if n := len(s.Runs(hgsite.Tools)); n > 3 {
		t.Errorf("the crashing request ran %d times, want 3 at most", n)
	}
	for _, r := range s.Replicas {
		r.SetFault(hgsite.Fault{})
	}
	if reply := call(t, s, 0, hgsite.Request{Path: hgsite.ChargePath + "x", Body: "harmless"}); reply.Status != http.StatusOK {
		t.Errorf("another request: status %d", reply.Status)
	}
}

// While replicas are full, programs in progress continue and new programs are refused immediately with Retry-After.
func TestNewProgramsWait(t *testing.T) {
	s := newSite(t, 1)
	first := hgsite.Turn(hgsite.ThreadPath, "under way", "", "x")
	wantStream(t, call(t, s, 0, first))
	for _, id := range []string{"engine-0", "engine-1"} {
		r := s.Replicas[id]
		r.SetPause(100 * time.Millisecond)
		e := r.Entry
		e.Slots = 2
		if err := s.Register(e); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(applyLimit / 2)
	var wg sync.WaitGroup
	var mu sync.Mutex
	status := map[int]int{}
	for i := range 24 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			reply, err := s.Call(context.Background(), 0, hgsite.Turn(hgsite.ThreadPath, fmt.Sprint("new", i), "", "x"))
			mu.Lock()
			defer mu.Unlock()
			status[reply.Status]++
			if err != nil || reply.Status == http.StatusServiceUnavailable && (reply.Header.Get("Retry-After") == "" || reply.Took > 100*time.Millisecond) {
				t.Errorf("program %d: %v, refused after %v, %v", i, err, reply.Took, reply.Header)
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	wantStream(t, call(t, s, 0, hgsite.Turn(hgsite.ThreadPath, "under way", first.ID, "x")))
	wg.Wait()
	if status[http.StatusOK] == 0 || status[http.StatusServiceUnavailable] == 0 {
		t.Errorf("answers by status %v: want some served and some refused", status)
	}
}

// The deadline passed to a replica exceeds neither the caller's deadline nor the route's timeout.
func TestTimeHandedOn(t *testing.T) {
	s := newSite(t, 1)
	route := hgsite.Desired(1).Routes[0].Timeout
	tests := map[string]struct{ deadline, limit time.Duration }{
		"caller's": {900 * time.Millisecond, 900 * time.Millisecond},
		"route's":  {time.Minute, route},
		"none":     {0, route},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := hgsite.Turn(hgsite.ChatPath, "p"+name, "", "x")
			q.Deadline = tt.deadline
			wantStream(t, call(t, s, 0, q))
			run, _ := lo.Find(s.Runs(hgsite.Engines), func(r hgsite.Run) bool { return r.Attempt == q.ID })
			if run.Deadline <= tt.limit/2 || run.Deadline > tt.limit {
				t.Errorf("the replica got a deadline of %v, want between half of %v and all of it", run.Deadline, tt.limit)
			}
		})
	}
}

// When a caller disconnects, the VM cancels the request to the replica within half a second.
func TestCallerLeaves(t *testing.T) {
	s := newSite(t, 1)
	for _, r := range s.Replicas {
		r.SetPause(700 * time.Millisecond)
	}
	for _, path := range []string{hgsite.ChatPath, hgsite.ThreadPath, hgsite.CheckPath} {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		if _, err := s.Call(ctx, 0, hgsite.Turn(path, "p"+path, "", "x")); err == nil {
			t.Errorf("%s: answered before the caller disconnected", path)
		}
		gone := time.Now()
		cancel()
		time.Sleep(500 * time.Millisecond)
		left := 0
		for _, r := range s.Replicas {
			left += lo.CountBy(r.Disconnects(), func(at time.Time) bool { return at.After(gone.Add(-100 * time.Millisecond)) })
		}
		if left != 1 {
			t.Errorf("%s: %d replicas saw a disconnect within half a second of the caller's, want 1", path, left)
		}
	}
}
