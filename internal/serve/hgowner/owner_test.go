package hgowner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/gravitational/trace"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgpreset"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/hgroute"
	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/serve/hgendpoint"
	"hyssopgrade/internal/serve/hgsched"
	"hyssopgrade/internal/state/hgjournal"
)

// script holds the answers that all endpoints of a test together give to dispatches: first the errors in order, then successes.
type script struct {
	mu   sync.Mutex
	errs []error
	sent int
	// outcomes are the answers to requests for outcomes, the last of which is repeated; without any, the endpoints keep no outcomes.
	outcomes []hgendpoint.OutcomeState
	asked    int
	fencing  bool
	// dead makes all status requests fail.
	dead bool
}

func (s *script) nextOutcome() (o hgendpoint.Outcome, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if len(s.outcomes) == 0 {
		return o, trace.NotFound("no outcome")
	}
	o = hgendpoint.Outcome{State: s.outcomes[0], Result: hgendpoint.ToolResult{Status: 200}}
	if len(s.outcomes) > 1 {
		s.outcomes = s.outcomes[1:]
	}
	return o, nil
}

func (s *script) next() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if len(s.errs) == 0 {
		return nil
	}
	err := s.errs[0]
	s.errs = s.errs[1:]
	return err
}

// fakeEndpoint is an endpoint that answers from a script.
type fakeEndpoint struct{ *script }

func (f fakeEndpoint) Chat(context.Context, hgendpoint.ChatRequest, func(string)) (hgendpoint.ChatResult, error) {
	return hgendpoint.ChatResult{Text: "hi", PromptTokens: 2, OutputTokens: 1}, f.next()
}

func (f fakeEndpoint) Call(context.Context, hgendpoint.ToolRequest) (hgendpoint.ToolResult, error) {
	return hgendpoint.ToolResult{Status: 200, Body: []byte("{}")}, f.next()
}

func (fakeEndpoint) Order(context.Context, hgendpoint.Order) error { return nil }
func (f fakeEndpoint) Status(context.Context) (hgendpoint.Status, error) {
	if f.dead {
		return hgendpoint.Status{}, errors.New("dead")
	}
	return hgendpoint.Status{}, nil
}
func (f fakeEndpoint) Outcome(context.Context, string, hgendpoint.Fence) (hgendpoint.Outcome, error) {
	return f.nextOutcome()
}
func (fakeEndpoint) Programs(context.Context) (map[string]int, error) { return nil, nil }
func (fakeEndpoint) String() string                                   { return "fake" }

// noopHooks is a Sharer, Turns and Recorder that does nothing and admits every copy.
type noopHooks struct{}

func (noopHooks) Share(hgquarantine.Suspect)                 {}
func (noopHooks) CallDone(hgcall.Call, hgcall.Result, Times) {}
func (noopHooks) Retried()                                   {}
func (noopHooks) Enter(string, hgquarantine.Holder) bool     { return true }
func (noopHooks) Leave(string, hgquarantine.Holder, bool)    {}

// newTestOwner returns an Owner of the store's only shard, and a function that stops it as a crash does: at once.
func newTestOwner(t *testing.T, store hgstore.Store, run string, s *script) (o *Owner, end func()) {
	t.Helper()
	p := hgpreset.Shipped()["ordinary"]
	endpoints := map[string]hgendpoint.Endpoint{}
	var eps []hgroute.Endpoint
	for i := range 3 {
		id := fmt.Sprintf("e%d", i)
		endpoints[id] = fakeEndpoint{s}
		eps = append(eps, hgroute.Endpoint{ID: id, Domain: "x", Targets: []string{"m", "t"}})
	}
	timer := hgtimer.NewService()
	o = NewOwner(Config{
		Node: "n", Run: run, Shards: 1, Store: store, Endpoints: endpoints, Sharer: noopHooks{}, Turns: noopHooks{}, Recorder: noopHooks{}, Timer: timer,
		Limits:    Limits{DispatchWindow: time.Second, Hold: time.Second, CommitWait: 2 * time.Second, Retain: time.Hour},
		Scheduler: hgsched.NewScheduler("n", "x", eps, p, hgsched.WithNow(timer.Now)), Log: hglog.Discard(), Preset: p,
		Targets: map[string][]string{"t": {"e0", "e1", "e2"}}, Fencing: map[string]bool{"e0": true, "e1": true, "e2": s.fencing}, Dead: func(string, string) bool { return true },
	})
	c := hgjournal.NewCommitter(store, run, o)
	o.SetJournal(c)
	ctx, cancel := context.WithCancel(t.Context())
	go c.Run(ctx)
	rows, err := hgjournal.ReadRows(ctx, store, 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := o.Take(ctx, rows); err != nil {
		t.Fatal(err)
	}
	return o, func() {
		cancel()
		o.Close()
		timer.Close()
	}
}

func modelCall() hgcall.Call {
	return hgcall.Call{
		Program: "p", Seq: 1, Request: "r", Kind: hgcall.Model, Target: "m", MaxTokens: 10, Deadline: 20 * time.Second,
		Messages: []hgcall.Message{{Role: "user", Content: "hello"}},
	}
}

func toolCall(idempotent bool) hgcall.Call {
	return hgcall.Call{Program: "p", Seq: 1, Request: "r", Kind: hgcall.Tool, Target: "t/o", Idempotent: idempotent, Deadline: 20 * time.Second}
}

// TestEndings checks the caller's answer for each way a dispatch can end, and the answer to a repetition under the same identifier.
// It guards against a call that runs twice, or is reported as not run although an endpoint may have run it.
func TestEndings(t *testing.T) {
	cut := &hgendpoint.Error{Sent: true, Cut: true, Err: errors.New("cut")}
	refused := &hgendpoint.Error{Cut: true, Err: errors.New("refused")}
	fenced := &hgendpoint.Error{Fenced: true, Err: errors.New("fenced")}
	tests := map[string]struct {
		call        hgcall.Call
		errs        []error
		first, then string
		sent        int
	}{
		"answered":                  {modelCall(), nil, "done", "done", 1},
		"model, cut once":           {modelCall(), []error{cut}, "done", "done", 2},
		"model, refused once":       {modelCall(), []error{refused}, "done", "done", 2},
		"never sent":                {modelCall(), []error{refused, refused, refused, refused}, "notRun", "notRun", 3},
		"sent once, then never":     {modelCall(), []error{cut, refused, refused, refused, refused}, "unavailable", "done", 6},
		"tool, cut":                 {toolCall(false), []error{cut}, "unknown", "unknown", 1},
		"tool, refused once":        {toolCall(false), []error{refused}, "done", "done", 2},
		"idempotent tool, cut once": {toolCall(true), []error{cut}, "done", "done", 2},
		"tool, fenced":              {toolCall(false), []error{fenced}, "not owner", "running", 1},
		"model, fenced":             {modelCall(), []error{fenced}, "not owner", "running", 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &script{errs: tc.errs}
				o, end := newTestOwner(t, hgstore.NewMemory(), "run", s)
				defer end()
				first := callerAnswer(o.Call(t.Context(), tc.call, nil))
				time.Sleep(40 * time.Second)
				then := callerAnswer(o.Call(t.Context(), tc.call, nil))
				if diff := cmp.Diff([]any{tc.first, tc.then}, []any{first, then}); diff != "" {
					t.Errorf("answers (-want +got):\n%s", diff)
				}
				if s.sent > tc.sent {
					t.Errorf("dispatched %d times, at most %d are allowed", s.sent, tc.sent)
				}
			})
		})
	}
}

func callerAnswer(r hgcall.Result, err error) string {
	var other *NotOwner
	var ref *hgcall.Refusal
	switch {
	case errors.As(err, &other):
		return "not owner"
	case errors.As(err, &ref):
		return string(ref.Kind)
	}
	return string(r.State)
}

// TestNextOwnerResolvesAnOpenCall stops an owner between intent and outcome, and lets another run of the node take the shard.
// A call that may not run twice may run again only if no endpoint has seen it and each refuses it from the earlier owner.
func TestNextOwnerResolvesAnOpenCall(t *testing.T) {
	const ended, running, unseen = hgendpoint.OutcomeEnded, hgendpoint.OutcomeRunning, hgendpoint.OutcomeUnseen
	for name, tc := range map[string]struct {
		idempotent bool
		outcomes   []hgendpoint.OutcomeState
		fencing    bool
		want       string
		sent       int
	}{
		"idempotent":                         {idempotent: true, want: "done", sent: 1},
		"no outcomes kept":                   {fencing: true, want: "unknown"},
		"unseen, one checks no fence":        {outcomes: []hgendpoint.OutcomeState{unseen}, want: "unknown"},
		"unseen, all check fences":           {outcomes: []hgendpoint.OutcomeState{unseen}, fencing: true, want: "done", sent: 1},
		"ended at the last endpoint":         {outcomes: []hgendpoint.OutcomeState{unseen, unseen, ended}, fencing: true, want: "done"},
		"running, then ended":                {outcomes: []hgendpoint.OutcomeState{unseen, running, unseen, unseen, ended}, want: "done"},
		"running without end":                {outcomes: []hgendpoint.OutcomeState{running}, fencing: true, want: "unknown"},
		"running once, then unseen (crash)":  {outcomes: []hgendpoint.OutcomeState{running, unseen}, want: "unknown"},
		"running once, then unseen, fencing": {outcomes: []hgendpoint.OutcomeState{running, unseen}, fencing: true, want: "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := hgstore.NewMemory()
				o, end := newTestOwner(t, store, "first", &script{})
				sh := o.shards[0]
				b, err := o.begin(t.Context(), sh, toolCall(tc.idempotent))
				if err != nil {
					t.Fatal(err)
				}
				if err := sh.waitDurable(t.Context(), b.epoch, b.lastRecord); err != nil {
					t.Fatal(err)
				}
				end()
				s := &script{outcomes: tc.outcomes, fencing: tc.fencing}
				next, end := newTestOwner(t, store, "second", s)
				defer end()
				if got := callerAnswer(next.Call(t.Context(), toolCall(tc.idempotent), nil)); got != "running" {
					t.Errorf("within the dispatch window the caller got %q, want \"running\"", got)
				}
				time.Sleep(12 * time.Second)
				got := callerAnswer(next.Call(t.Context(), toolCall(tc.idempotent), nil))
				if diff := cmp.Diff([]any{tc.want, tc.sent}, []any{got, s.sent}); diff != "" {
					t.Errorf("answer and dispatches (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestSupersededShardIsGivenUp lets another run take an idle shard. The earlier owner, which has no record to commit and so no
// conflict, has to stop serving the shard once it learns of the new epoch.
func TestSupersededShardIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := hgstore.NewMemory()
		o, end := newTestOwner(t, store, "first", &script{})
		defer end()
		next, endNext := newTestOwner(t, store, "second", &script{})
		defer endNext()
		o.Superseded(0, o.Epochs()[0])
		if !o.Held(0) {
			t.Error("the owner gave up the shard on a report of the shard's current epoch")
		}
		o.Superseded(0, next.Epochs()[0])
		if got := callerAnswer(o.Call(t.Context(), modelCall(), nil)); got != "not owner" {
			t.Errorf("the earlier owner answered %q, want \"not owner\"", got)
		}
	})
}

// TestQuarantineIsForTheWholeConversation lets endpoints die while they run a short message that follows a history. The same message
// in another conversation still has to run; the same conversation of another program must not.
func TestQuarantineIsForTheWholeConversation(t *testing.T) {
	cut := &hgendpoint.Error{Sent: true, Cut: true, Err: errors.New("cut")}
	call := func(program string, seq uint64, text string) hgcall.Call {
		c := modelCall()
		c.Program, c.Seq, c.Request = program, seq, fmt.Sprintf("%s-%d", program, seq)
		c.Messages = []hgcall.Message{{Role: "user", Content: text}}
		return c
	}
	synctest.Test(t, func(t *testing.T) {
		s := &script{errs: []error{nil, cut, cut}, dead: true}
		o, end := newTestOwner(t, hgstore.NewMemory(), "run", s)
		defer end()
		var got []string
		for _, c := range []hgcall.Call{
			call("guilty", 1, "hello"), call("guilty", 2, "ok"),
			call("other", 1, "ok"), call("other", 2, "hello"),
			call("copy", 1, "hello"), call("copy", 2, "ok"),
		} {
			got = append(got, callerAnswer(o.Call(t.Context(), c, nil)))
		}
		want := []string{"done", "failed", "done", "done", "done", "notRun"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("answers (-want +got):\n%s", diff)
		}
	})
}
