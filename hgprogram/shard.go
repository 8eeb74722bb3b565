package hgprogram

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgcall"
)

// retryRunning is when to ask again for a call that is running.
const retryRunning = 500 * time.Millisecond

// Decision is what Begin decides: Run, Answer, Wait or Refuse.
type Decision interface{ decision() }

// Run tells to commit Records and then to dispatch the call.
type Run struct {
	Records []Record
	// History is the program's conversation before the call.
	History []hgcall.Message
	// Content is the digest of what the endpoint gets: a model call's whole conversation, or a tool call.
	Content string
	// Context is the number of tokens in History.
	Context uint64
	// Served is the tokens that the root program has been served.
	Served uint64
	// MaxTokens bounds the call's output.
	MaxTokens uint64
}

// Answer tells to return the result of a call that has ended, once record N is durable.
type Answer struct {
	N      uint64
	Result hgcall.Result
}

// Wait tells to ask again when the shard has changed.
type Wait struct{}

// Refuse tells to commit Records, if any, and then to refuse.
type Refuse struct {
	Records []Record
	Refusal *hgcall.Refusal
}

func (Run) decision()    {}
func (Answer) decision() {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Limits are the defaults for calls that set none.
type Limits struct {
	// BudgetTokens is a root program's budget.
	BudgetTokens uint64
	// MaxTokens bounds a model call's output.
	MaxTokens uint64
}

// Shard is the state of one shard; it is not safe for concurrent use.
type Shard struct {
	n        uint64
	programs map[string]*program
}

// NewShard returns an empty shard.
func NewShard() *Shard {
	return &Shard{programs: map[string]*program{}}
}

// N returns the number of the last record.
func (s *Shard) N() uint64 { return s.n }

// Len returns the number of programs.
func (s *Shard) Len() int { return len(s.programs) }

// Known decides about a copy of a call that was begun before; ok is false for a call that was not.
func (s *Shard) Known(c hgcall.Call) (d Decision, ok bool) {
	p := s.programs[c.Program]
	if p == nil || p.byRequest[c.Request] == nil {
		return nil, false
	}
	return repeated(p.byRequest[c.Request], c), true
}

// Begin decides about a call that has passed Check.
func (s *Shard) Begin(c hgcall.Call, lim Limits, now time.Duration) Decision {
	if d, ok := s.Known(c); ok {
		return d
	}
	p := s.programs[c.Program]
	if d := s.checkPlace(p, c); d != nil {
		return d
	}
	var recs []Record
	if p == nil {
		recs = append(recs, s.record(Record{Type: Opened, Program: c.Program, Tokens: budget(c, lim)}, now))
		p = s.programs[c.Program]
	}
	p.lastActive = now
	root := s.programs[c.Root()]
	left := root.budget - min(root.budget, root.spent+root.reserved)
	reserve, maxTokens := reservation(c, lim, left)
	if reserve > left {
		ref := hgcall.NewRefusal(hgcall.KindNotRun, hgcall.ReasonBudget, 0,
			"call needs up to %d tokens, program %q has %d left of %d", reserve, root.id, left, root.budget)
		recs = append(recs, s.tombstone(c, ref.Reason, now))
		return Refuse{Records: recs, Refusal: ref}
	}
	history := p.history()
	recs = append(recs, s.record(Record{
		Type: Intent, Program: c.Program, Seq: c.Seq, Request: c.Request, Digest: c.Digest(),
		Kind: c.Kind, Target: c.Target, Idempotent: c.Repeatable(),
		Messages: c.Messages, Body: c.Body, Tokens: reserve,
	}, now))
	return Run{Records: recs, History: history, Content: p.content(c), Context: p.context, Served: root.spent, MaxTokens: maxTokens}
}

// content returns the digest of what the endpoint gets of a call.
func (p *program) content(c hgcall.Call) string {
	if c.Kind == hgcall.Model {
		return c.Target + ":" + hgcall.ConversationDigest(p.conversation, c.Messages...)
	}
	return c.Digest()
}

// checkPlace returns the decision about a call that cannot run now, or nil.
func (s *Shard) checkPlace(p *program, c hgcall.Call) Decision {
	root := s.programs[c.Root()]
	switch {
	case p != nil && p.ended, root != nil && root.ended:
		return Refuse{Refusal: hgcall.NewRefusal(hgcall.KindInvalid, hgcall.ReasonEnded, 0, "program %q has ended", c.Program)}
	case p == nil && c.Seq > 1:
		return Wait{}
	case p == nil && root == nil && c.Root() != c.Program:
		return Wait{}
	case p == nil:
		return nil
	case c.Seq < p.next:
		return Refuse{Refusal: hgcall.Invalid("seq", "%d was used by another request; the next is %d", c.Seq, p.next)}
	case c.Seq > p.next || p.open != nil:
		return Wait{}
	}
	return nil
}

func repeated(t *turn, c hgcall.Call) Decision {
	switch {
	case t.digest != c.Digest() || t.seq != c.Seq:
		return Refuse{Refusal: hgcall.Invalid("request", "%q was used for another call", c.Request)}
	case t.result.State == hgcall.Open:
		return Refuse{Refusal: hgcall.NewRefusal(hgcall.KindRunning, hgcall.ReasonInProgress, retryRunning, "request %q is running", c.Request)}
	}
	return Answer{N: t.n, Result: t.result}
}

func budget(c hgcall.Call, lim Limits) uint64 {
	switch {
	case c.Root() != c.Program:
		return 0
	case c.Budget > 0:
		return c.Budget
	}
	return lim.BudgetTokens
}

// messageTokens is the most tokens that an engine's chat template adds to a message.
const messageTokens = 8

// reservation returns the most tokens that a call can use; a token is at least one byte.
func reservation(c hgcall.Call, lim Limits, left uint64) (reserve, maxTokens uint64) {
	if c.Kind == hgcall.Tool {
		return 0, 0
	}
	in := c.NewBytes() + uint64(len(c.Messages))*messageTokens
	if c.MaxTokens > 0 {
		return in + c.MaxTokens, c.MaxTokens
	}
	maxTokens = lim.MaxTokens
	if left > in {
		maxTokens = min(maxTokens, left-in)
	}
	return in + maxTokens, maxTokens
}

// Finish closes an open call with its result and returns the records to commit.
func (s *Shard) Finish(programID, request string, r hgcall.Result, now time.Duration) []Record {
	t := s.openTurn(programID, request)
	if t == nil {
		return nil
	}
	return []Record{s.record(Record{
		Type: Outcome, Program: programID, Seq: t.seq, Request: request,
		Tokens: r.InputTokens + r.OutputTokens, Result: &r,
	}, now)}
}

// Abandon closes an open idempotent call whose dispatch was lost, so that it can run again.
func (s *Shard) Abandon(programID, request string, now time.Duration) []Record {
	t := s.openTurn(programID, request)
	if t == nil || !t.idempotent {
		return nil
	}
	return []Record{s.record(Record{Type: Abandoned, Program: programID, Seq: t.seq, Request: request, Tokens: t.reserved}, now)}
}

// Withdraw closes an open call that no endpoint has run nor will run under its intent, so that it can run again.
func (s *Shard) Withdraw(programID, request string, now time.Duration) []Record {
	t := s.openTurn(programID, request)
	if t == nil {
		return nil
	}
	return []Record{s.record(Record{Type: Abandoned, Program: programID, Seq: t.seq, Request: request}, now)}
}

// Renew proves that an open call's shard is still owned, once the record is durable.
func (s *Shard) Renew(programID, request string, now time.Duration) []Record {
	t := s.openTurn(programID, request)
	if t == nil {
		return nil
	}
	return []Record{s.record(Record{Type: Renewed, Program: programID, Seq: t.seq, Request: request}, now)}
}

// tombstone records that a request that has no intent will never run.
func (s *Shard) tombstone(c hgcall.Call, reason hgcall.Reason, now time.Duration) Record {
	r := hgcall.Result{State: hgcall.NotRun, Reason: reason}
	return s.record(Record{
		Type: Outcome, Program: c.Program, Seq: c.Seq, Request: c.Request, Digest: c.Digest(), Result: &r,
	}, now)
}

func (s *Shard) openTurn(programID, request string) *turn {
	p := s.programs[programID]
	if p == nil || p.open == nil || p.open.request != request {
		return nil
	}
	return p.open
}

// End ends a program and its sub-agents; calls in progress still finish.
func (s *Shard) End(programID string, now time.Duration) []Record {
	p := s.programs[programID]
	if p == nil || p.ended {
		return nil
	}
	return []Record{s.record(Record{Type: Ended, Program: programID}, now)}
}

// Forget removes root programs, with their sub-agents, that were last active before the given time and run nothing.
func (s *Shard) Forget(before, now time.Duration) []Record {
	busy := map[string]bool{}
	for _, p := range s.programs {
		if p.open != nil || p.lastActive >= before {
			busy[hgcall.Root(p.id)] = true
		}
	}
	var recs []Record
	for _, id := range lo.Keys(s.programs) {
		if !busy[hgcall.Root(id)] {
			recs = append(recs, s.record(Record{Type: Forgotten, Program: id}, now))
		}
	}
	return recs
}

// record numbers a record and applies it.
func (s *Shard) record(r Record, now time.Duration) Record {
	r.N = s.n + 1
	if err := s.Apply(r, now); err != nil {
		panic(fmt.Sprintf("apply own record: %v", err))
	}
	return r
}
