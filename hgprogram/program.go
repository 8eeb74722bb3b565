package hgprogram

import (
	"slices"
	"sort"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgcall"
)

// turn is one call of a program.
type turn struct {
	n          uint64
	seq        uint64
	request    string
	digest     string
	kind       hgcall.Kind
	target     string
	idempotent bool
	messages   []hgcall.Message
	body       []byte
	reserved   uint64
	result     hgcall.Result
}

// program is one program; a root program holds the budget of all its sub-agents.
type program struct {
	id       string
	budget   uint64
	spent    uint64
	reserved uint64
	lost     uint64
	next     uint64
	open     *turn
	turns    []*turn
	// conversation is the digest of the history.
	conversation string
	byRequest    map[string]*turn
	context      uint64
	ended        bool
	lastActive   time.Duration
}

// history returns the messages of the answered model calls, in order.
func (p *program) history() []hgcall.Message {
	var ms []hgcall.Message
	for _, t := range p.turns {
		ms = append(ms, t.conversation()...)
	}
	return ms
}

// conversation returns the messages that the call has added to the program's history.
func (t *turn) conversation() []hgcall.Message {
	if t.kind != hgcall.Model || t.result.State != hgcall.Done {
		return nil
	}
	answer := hgcall.Message{Role: "assistant", Content: string(t.result.Answer)}
	return append(slices.Clip(t.messages), answer)
}

// Apply changes the state by one record; records up to N are skipped, a gap or a bad record is a BadParameter error.
func (s *Shard) Apply(r Record, now time.Duration) (err error) {
	if r.N <= s.n {
		return nil
	}
	if r.N != s.n+1 {
		return trace.BadParameter("record %d follows record %d", r.N, s.n)
	}
	if err := s.apply(r, now); err != nil {
		return err
	}
	s.n = r.N
	return nil
}

func (s *Shard) apply(r Record, now time.Duration) (err error) {
	if r.Type == Opened {
		s.programs[r.Program] = &program{id: r.Program, budget: r.Tokens, next: 1, byRequest: map[string]*turn{}, lastActive: now}
		return nil
	}
	p, root := s.programs[r.Program], s.programs[hgcall.Root(r.Program)]
	if p == nil || root == nil {
		return trace.BadParameter("record %d: program %q does not exist", r.N, r.Program)
	}
	p.lastActive, root.lastActive = now, now
	switch r.Type {
	case Intent:
		return p.intent(root, r)
	case Outcome:
		return p.outcome(root, r)
	case Abandoned:
		return p.abandon(root, r)
	case Renewed:
		return nil
	case Charged:
		p.charge(r.Tokens)
		return nil
	case Ended:
		p.ended = true
		return nil
	case Forgotten:
		delete(s.programs, r.Program)
		return nil
	}
	return trace.BadParameter("record %d has unknown type %d", r.N, r.Type)
}

func (p *program) intent(root *program, r Record) (err error) {
	if p.open != nil {
		return trace.BadParameter("record %d: program %q has an open call", r.N, p.id)
	}
	t := &turn{
		n: r.N, seq: r.Seq, request: r.Request, digest: r.Digest, kind: r.Kind, target: r.Target,
		idempotent: r.Idempotent, messages: r.Messages, body: r.Body, reserved: r.Tokens,
		result: hgcall.Result{State: hgcall.Open},
	}
	p.open = t
	p.byRequest[t.request] = t
	root.reserved += t.reserved
	return nil
}

func (p *program) outcome(root *program, r Record) (err error) {
	if r.Result == nil {
		return trace.BadParameter("record %d has no result", r.N)
	}
	t := p.open
	if t == nil || t.request != r.Request {
		p.byRequest[r.Request] = &turn{n: r.N, seq: r.Seq, request: r.Request, digest: r.Digest, result: *r.Result}
		return nil
	}
	p.open = nil
	root.reserved -= t.reserved
	root.spent += r.Tokens
	t.n = r.N
	t.result = *r.Result
	if t.result.State == hgcall.NotRun {
		return nil
	}
	p.next = t.seq + 1
	p.context += r.Result.InputTokens + r.Result.OutputTokens
	p.turns = append(p.turns, t)
	p.conversation = hgcall.ConversationDigest(p.conversation, t.conversation()...)
	return nil
}

func (p *program) abandon(root *program, r Record) (err error) {
	t := p.open
	if t == nil || t.request != r.Request {
		return trace.BadParameter("record %d: request %q is not open", r.N, r.Request)
	}
	p.open = nil
	delete(p.byRequest, t.request)
	root.reserved -= t.reserved
	root.charge(r.Tokens)
	return nil
}

// charge spends tokens of a dispatch whose outcome was lost.
func (p *program) charge(tokens uint64) {
	p.spent += tokens
	p.lost += tokens
}

// Restore replaces the state by a snapshot.
func (s *Shard) Restore(snap Snapshot, now time.Duration) (err error) {
	defer func() { err = trace.Wrap(err, "restore snapshot of record %d", snap.N) }()
	s.programs = map[string]*program{}
	for _, r := range snap.Records {
		if err := s.apply(r, now); err != nil {
			return err
		}
	}
	s.n = snap.N
	return nil
}

// Snapshot returns the state as records.
func (s *Shard) Snapshot() Snapshot {
	snap := Snapshot{N: s.n}
	ids := lo.Keys(s.programs)
	sort.Strings(ids)
	for _, id := range ids {
		snap.Records = append(snap.Records, s.programs[id].records()...)
	}
	return snap
}

func (p *program) records() []Record {
	recs := []Record{{Type: Opened, Program: p.id, Tokens: p.budget}}
	if p.lost > 0 {
		recs = append(recs, Record{Type: Charged, Program: p.id, Tokens: p.lost})
	}
	turns := lo.Values(p.byRequest)
	slices.SortFunc(turns, func(a, b *turn) int { return int(a.n) - int(b.n) })
	for _, t := range turns {
		if t.kind != "" {
			recs = append(recs, Record{
				N: t.n, Type: Intent, Program: p.id, Seq: t.seq, Request: t.request, Digest: t.digest, Kind: t.kind,
				Target: t.target, Idempotent: t.idempotent, Messages: t.messages, Body: t.body, Tokens: t.reserved,
			})
		}
		if t.result.State == hgcall.Open {
			continue
		}
		spent := t.result.InputTokens + t.result.OutputTokens
		recs = append(recs, Record{
			N: t.n, Type: Outcome, Program: p.id, Seq: t.seq, Request: t.request, Digest: t.digest, Tokens: spent, Result: &t.result,
		})
	}
	if p.ended {
		recs = append(recs, Record{Type: Ended, Program: p.id})
	}
	return recs
}
