package hgprogram

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"hyssopgrade/hgcall"
)

var limits = Defaults{BudgetTokens: 1000, MaxTokens: 50}

func call(program string, seq uint64, request string) hgcall.Call {
	return hgcall.Call{
		Program: program, Seq: seq, Request: request, Kind: hgcall.Model, Target: "m", MaxTokens: 20,
		Messages: []hgcall.Message{{Role: "user", Content: "hello"}}, Deadline: time.Minute,
	}
}

func TestBegin(t *testing.T) {
	done := hgcall.Result{State: hgcall.Done, Answer: []byte("hi"), InputTokens: 3, OutputTokens: 1}
	tests := map[string]struct {
		prepare func(s *Shard)
		call    hgcall.Call
		want    string
	}{
		"first call":                  {func(*Shard) {}, call("p", 1, "a"), "run"},
		"second before first":         {func(*Shard) {}, call("p", 2, "b"), "wait"},
		"copy while running":          {func(s *Shard) { s.Begin(call("p", 1, "a"), limits, 0) }, call("p", 1, "a"), "running"},
		"next while running":          {func(s *Shard) { s.Begin(call("p", 1, "a"), limits, 0) }, call("p", 2, "b"), "wait"},
		"copy after the answer":       {func(s *Shard) { s.Begin(call("p", 1, "a"), limits, 0); s.Finish("p", "a", done, 0) }, call("p", 1, "a"), "answer"},
		"same identifier, other call": {func(s *Shard) { s.Begin(call("p", 1, "a"), limits, 0) }, call("p", 2, "a"), "invalid request"},
		"sequence number is used":     {func(s *Shard) { s.Begin(call("p", 1, "a"), limits, 0); s.Finish("p", "a", done, 0) }, call("p", 1, "b"), "invalid seq"},
		"after the end":               {func(s *Shard) { s.Begin(call("p", 1, "a"), limits, 0); s.Finish("p", "a", done, 0); s.End("p", 0) }, call("p", 2, "b"), "invalid "},
		"sub-agent without parent":    {func(*Shard) {}, call("p/a", 1, "b"), "wait"},
		"budget is used up": {func(s *Shard) {
			c := call("p", 1, "a")
			c.Budget = 40
			s.Begin(c, limits, 0)
			s.Finish("p", "a", done, 0)
		}, call("p/agent", 1, "b"), "notRun "},
		"not run, sequence number is free": {func(s *Shard) {
			s.Begin(call("p", 1, "a"), limits, 0)
			s.Finish("p", "a", hgcall.Result{State: hgcall.NotRun}, 0)
		}, call("p", 1, "b"), "run"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewShard()
			tc.prepare(s)
			if diff := cmp.Diff(tc.want, describe(s.Begin(tc.call, limits, 0))); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
}

func describe(d Decision) string {
	switch d := d.(type) {
	case Run:
		return "run"
	case Wait:
		return "wait"
	case Answer:
		return "answer"
	case Refuse:
		if d.Refusal.Kind == hgcall.KindRunning {
			return "running"
		}
		return fmt.Sprintf("%s %s", d.Refusal.Kind, d.Refusal.Field)
	}
	return "nothing"
}

// TestShardInvariants runs random calls, duplicates, outcomes and lost dispatches. Budgets must hold, replayed records and
// snapshots must rebuild the state, and a request that was answered must never run again.
func TestShardInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, journal := NewShard(), []Record{}
		answered := map[string]string{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			program := rapid.SampledFrom([]string{"p", "p/a", "p/b", "q"}).Draw(t, "program")
			journal = append(journal, step(t, s, program, i, answered)...)
			checkBudgets(t, s)
		}
		replayed := NewShard()
		for _, r := range journal {
			if err := replayed.Apply(r, 0); err != nil {
				t.Fatal(err)
			}
		}
		if diff := cmp.Diff(s.Snapshot(), replayed.Snapshot()); diff != "" {
			t.Fatalf("replayed state differs:\n%s", diff)
		}
		restored := NewShard()
		if err := restored.Restore(s.Snapshot(), 0); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s.Snapshot(), restored.Snapshot()); diff != "" {
			t.Fatalf("restored state differs:\n%s", diff)
		}
		if diff := cmp.Diff(s.Summaries(0), restored.Summaries(0)); diff != "" {
			t.Fatalf("restored programs differ:\n%s", diff)
		}
	})
}

// step takes one random action on a program and returns its records.
func step(t *rapid.T, s *Shard, program string, i int, answered map[string]string) []Record {
	p := s.programs[program]
	open := p != nil && p.open != nil
	switch rapid.IntRange(0, 5).Draw(t, "action") {
	case 0:
		if open {
			used := rapid.Uint64Range(0, 20).Draw(t, "output")
			state := rapid.SampledFrom([]hgcall.State{hgcall.Done, hgcall.Failed, hgcall.Unknown, hgcall.NotRun}).Draw(t, "state")
			r := hgcall.Result{State: state, Answer: []byte(fmt.Sprint(i)), OutputTokens: used, InputTokens: 9}
			if state == hgcall.NotRun {
				r.OutputTokens, r.InputTokens = 0, 0
			}
			return s.Finish(program, p.open.request, r, 0)
		}
	case 1:
		if open {
			return s.Abandon(program, p.open.request, 0)
		}
	case 2:
		if rapid.IntRange(0, 9).Draw(t, "end") == 0 {
			return s.End(program, 0)
		}
	default:
		next := uint64(1)
		if p != nil {
			next = p.nextSeq
		}
		c := call(program, next, fmt.Sprintf("r%d", rapid.IntRange(0, i).Draw(t, "request")))
		c.Budget = 300
		switch d := s.Begin(c, limits, 0).(type) {
		case Run:
			if answered[program+c.Request] == "ended" {
				t.Fatalf("request %s of %s runs again", c.Request, program)
			}
			return d.Records
		case Answer:
			answered[program+c.Request] = "ended"
		case Refuse:
			return d.Records
		}
	}
	return nil
}

func checkBudgets(t *rapid.T, s *Shard) {
	for _, p := range s.Summaries(0) {
		if hgcall.Root(p.Program) == p.Program && p.Spent+p.Reserved > p.Budget {
			t.Fatalf("program %s: %d spent and %d reserved of %d", p.Program, p.Spent, p.Reserved, p.Budget)
		}
	}
}
