package hgprogram

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgcall"
)

// retryRunning is the time after which a caller should send a duplicate of a running call again.
const retryRunning = 500 * time.Millisecond

// Decision is the result of Shard.Begin: Run, Answer, Wait or Refuse.
type Decision interface{ decision() }

// Run means that the call is to be dispatched as soon as Records are committed.
type Run struct {
	Records []Record
	// History is the program's conversation without the call's own messages.
	History []hgcall.Message
	// Content is the digest of what is sent to the endpoint: a model call's whole conversation, or a tool call. Quarantine
	// recognizes by it a request that crashed endpoints.
	Content string
	// Context is the number of input and output tokens of the calls before this one.
	Context uint64
	// Served is the number of tokens that the root program has spent; the queue policy leastService orders by it.
	Served uint64
	// MaxTokens bounds the call's output.
	MaxTokens uint64
}

// Answer means that the call has ended before; its result is returned as soon as record N is durable.
type Answer struct {
	N      uint64
	Result hgcall.Result
}

// Wait means that the call can't be decided yet, for it came before an earlier call of its program ended or before its
// root program was opened. The owner asks again when the shard has changed.
type Wait struct{}

// Refuse means that the call is to be refused, after Records are committed if there are any.
type Refuse struct {
	Records []Record
	Refusal *hgcall.Refusal
}

func (Run) decision()    {}
func (Answer) decision() {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// Defaults are the limits on tokens for programs and calls that set none themselves.
type Defaults struct {
	// BudgetTokens is a root program's budget.
	BudgetTokens uint64
	// MaxTokens bounds a model call's output.
	MaxTokens uint64
}

// Shard is the state of one shard: its programs with their calls. It is not safe for concurrent use.
type Shard struct {
	n        uint64
	programs map[string]*program
}

// NewShard returns an empty shard.
func NewShard() *Shard {
	return &Shard{programs: map[string]*program{}}
}

// N returns the number of the last applied record, 0 for an empty shard.
func (s *Shard) N() uint64 { return s.n }

// Len returns the number of programs.
func (s *Shard) Len() int { return len(s.programs) }

// DecideDuplicate decides about a duplicate of a request that the shard knows; ok is false for a new request. It writes no records.
func (s *Shard) DecideDuplicate(c hgcall.Call) (d Decision, ok bool) {
	p := s.programs[c.Program]
	if p == nil || p.byRequest[c.Request] == nil {
		return nil, false
	}
	return decideDuplicate(p.byRequest[c.Request], c), true
}

// Begin decides about a call that has passed hgcall.Call.Check. The records of its decision are already applied.
func (s *Shard) Begin(c hgcall.Call, lim Defaults, now time.Duration) Decision {
	if d, ok := s.DecideDuplicate(c); ok {
		return d
	}
	p := s.programs[c.Program]
	if d := s.checkOrder(p, c); d != nil {
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
	return Run{Records: recs, History: history, Content: p.content(c), Context: p.contextTokens, Served: root.spent, MaxTokens: maxTokens}
}

// content returns the digest of what is sent to the endpoint for a call.
func (p *program) content(c hgcall.Call) string {
	if c.Kind == hgcall.Model {
		return c.Target + ":" + hgcall.ConversationDigest(p.conversationDigest, c.Messages...)
	}
	return c.Digest()
}

// checkOrder returns the decision about a call that can't run now: its program has ended, its sequence number is used, an
// earlier call has not come or still runs, or its root program does not exist yet. It returns nil for a call that is next.
func (s *Shard) checkOrder(p *program, c hgcall.Call) Decision {
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
	case c.Seq < p.nextSeq:
		return Refuse{Refusal: hgcall.Invalid("seq", "%d was used by another request; the next is %d", c.Seq, p.nextSeq)}
	case c.Seq > p.nextSeq || p.open != nil:
		return Wait{}
	}
	return nil
}

// decideDuplicate decides about a request that was begun before as t.
func decideDuplicate(t *turn, c hgcall.Call) Decision {
	switch {
	case t.digest != c.Digest() || t.seq != c.Seq:
		return Refuse{Refusal: hgcall.Invalid("request", "%q was used for another call", c.Request)}
	case t.result.State == hgcall.Open:
		return Refuse{Refusal: hgcall.NewRefusal(hgcall.KindRunning, hgcall.ReasonInProgress, retryRunning, "request %q is running", c.Request)}
	}
	return Answer{N: t.n, Result: t.result}
}

// budget returns the token budget of the program that a call opens; a sub-agent uses its root program's.
func budget(c hgcall.Call, lim Defaults) uint64 {
	switch {
	case c.Root() != c.Program:
		return 0
	case c.Budget > 0:
		return c.Budget
	}
	return lim.BudgetTokens
}

// messageTokens is the upper limit on the tokens that an engine's chat template adds to a message.
const messageTokens = 8

// reservation returns the tokens to reserve for a call, which it can't exceed, and the limit on its output. Its input counts one
// token per byte, for no token is shorter. Without a limit of its own a call gets the default, reduced to what is left.
func reservation(c hgcall.Call, lim Defaults, left uint64) (reserve, maxTokens uint64) {
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

// Finish closes an open call with its result and returns the records to commit, none if the call is not open.
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

// Abandon closes an open idempotent call whose dispatch was lost, so that it can run again. Its reservation counts as spent.
func (s *Shard) Abandon(programID, request string, now time.Duration) []Record {
	t := s.openTurn(programID, request)
	if t == nil || !t.idempotent {
		return nil
	}
	return []Record{s.record(Record{Type: Abandoned, Program: programID, Seq: t.seq, Request: request, Tokens: t.reserved}, now)}
}

// Withdraw closes an open call that no endpoint has run or will run under its intent, so that it can run again. Its reservation
// is released.
func (s *Shard) Withdraw(programID, request string, now time.Duration) []Record {
	t := s.openTurn(programID, request)
	if t == nil {
		return nil
	}
	return []Record{s.record(Record{Type: Abandoned, Program: programID, Seq: t.seq, Request: request}, now)}
}

// Renew returns a record for an open call that was not dispatched in time. As soon as the record is durable it shows that this
// node still owns the shard.
func (s *Shard) Renew(programID, request string, now time.Duration) []Record {
	t := s.openTurn(programID, request)
	if t == nil {
		return nil
	}
	return []Record{s.record(Record{Type: Renewed, Program: programID, Seq: t.seq, Request: request}, now)}
}

// tombstone records that a request without an intent will never run.
func (s *Shard) tombstone(c hgcall.Call, reason hgcall.Reason, now time.Duration) Record {
	r := hgcall.Result{State: hgcall.NotRun, Reason: reason}
	return s.record(Record{
		Type: Outcome, Program: c.Program, Seq: c.Seq, Request: c.Request, Digest: c.Digest(), Result: &r,
	}, now)
}

// openTurn returns the program's call in progress if it has the request identifier, or nil.
func (s *Shard) openTurn(programID, request string) *turn {
	p := s.programs[programID]
	if p == nil || p.open == nil || p.open.request != request {
		return nil
	}
	return p.open
}

// End ends a program; a root program's sub-agents end with it. Calls in progress still finish.
func (s *Shard) End(programID string, now time.Duration) []Record {
	p := s.programs[programID]
	if p == nil || p.ended {
		return nil
	}
	return []Record{s.record(Record{Type: Ended, Program: programID}, now)}
}

// EvictIdle evicts root programs, with their sub-agents, that run no call and were last active before the given time.
func (s *Shard) EvictIdle(before, now time.Duration) []Record {
	busy := map[string]bool{}
	for _, p := range s.programs {
		if p.open != nil || p.lastActive >= before {
			busy[hgcall.Root(p.id)] = true
		}
	}
	var recs []Record
	for _, id := range lo.Keys(s.programs) {
		if !busy[hgcall.Root(id)] {
			recs = append(recs, s.record(Record{Type: Evicted, Program: id}, now))
		}
	}
	return recs
}

// record numbers a new record and applies it.
func (s *Shard) record(r Record, now time.Duration) Record {
	r.N = s.n + 1
	if err := s.Apply(r, now); err != nil {
		panic(fmt.Sprintf("apply own record: %v", err))
	}
	return r
}
