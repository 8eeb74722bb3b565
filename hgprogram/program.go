package hgprogram

import (
	"slices"
	"sort"
	"time"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgcall"
)

// turn is one call of a program, to a model or to a tool.
type turn struct {
	// n is the number of the last record that changed the call.
	n          uint64
	seq        uint64
	request    string
	digest     string
	kind       hgcall.Kind
	target     string
	idempotent bool
	messages   []hgcall.Message
	body       []byte
	// reserved is the number of tokens that the call may use, taken from the root program's budget.
	reserved uint64
	// result has the state Open until the call has ended.
	result hgcall.Result
}

// program is the state of one program. A root program holds the budget for itself and all its sub-agents.
type program struct {
	id string
	// budget, spent and reserved count tokens; they are used in root programs only.
	budget   uint64
	spent    uint64
	reserved uint64
	// lostTokens is the part of spent that was charged for dispatches whose outcomes were lost.
	lostTokens uint64
	// nextSeq is the sequence number of the next call.
	nextSeq uint64
	// open is the call in progress, or nil.
	open *turn
	// turns are the calls that have ended, in order, without those that were not run.
	turns []*turn
	// conversationDigest is the digest of the history.
	conversationDigest string
	// byRequest holds the calls by request identifier, those that were not run included.
	byRequest map[string]*turn
	// contextTokens is the number of tokens in the history.
	contextTokens uint64
	ended         bool
	lastActive    time.Duration
}

// history returns the program's conversation: the messages and answers of its completed model calls, in order.
func (p *program) history() []hgcall.Message {
	var ms []hgcall.Message
	for _, t := range p.turns {
		ms = append(ms, t.conversation()...)
	}
	return ms
}

// conversation returns the messages that the call added to the program's history: none unless it is a completed model call.
func (t *turn) conversation() []hgcall.Message {
	if t.kind != hgcall.Model || t.result.State != hgcall.Done {
		return nil
	}
	answer := hgcall.Message{Role: "assistant", Content: string(t.result.Answer)}
	return append(slices.Clip(t.messages), answer)
}

// Apply applies one record. A record that is already applied is skipped; a gap in the numbers or an invalid record is a
// BadParameter error.
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
		s.programs[r.Program] = &program{id: r.Program, budget: r.Tokens, nextSeq: 1, byRequest: map[string]*turn{}, lastActive: now}
		return nil
	}
	p, root := s.programs[r.Program], s.programs[hgcall.Root(r.Program)]
	if p == nil || root == nil {
		return trace.BadParameter("record %d: program %q does not exist", r.N, r.Program)
	}
	p.lastActive, root.lastActive = now, now
	switch r.Type {
	case Intent:
		return p.applyIntent(root, r)
	case Outcome:
		return p.applyOutcome(root, r)
	case Abandoned:
		return p.applyAbandoned(root, r)
	case Renewed:
		return nil
	case Charged:
		p.charge(r.Tokens)
		return nil
	case Ended:
		p.ended = true
		return nil
	case Evicted:
		delete(s.programs, r.Program)
		return nil
	}
	return trace.BadParameter("record %d has unknown type %d", r.N, r.Type)
}

func (p *program) applyIntent(root *program, r Record) (err error) {
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

func (p *program) applyOutcome(root *program, r Record) (err error) {
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
	p.nextSeq = t.seq + 1
	p.contextTokens += r.Result.InputTokens + r.Result.OutputTokens
	p.turns = append(p.turns, t)
	p.conversationDigest = hgcall.ConversationDigest(p.conversationDigest, t.conversation()...)
	return nil
}

func (p *program) applyAbandoned(root *program, r Record) (err error) {
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

// charge counts as spent the tokens that were reserved for a dispatch whose outcome was lost.
func (p *program) charge(tokens uint64) {
	p.spent += tokens
	p.lostTokens += tokens
}

// Restore replaces the state by that of a snapshot.
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

// Snapshot returns the records that rebuild the present state, ordered by program identifier.
func (s *Shard) Snapshot() Snapshot {
	snap := Snapshot{N: s.n}
	ids := lo.Keys(s.programs)
	sort.Strings(ids)
	for _, id := range ids {
		snap.Records = append(snap.Records, s.programs[id].records()...)
	}
	return snap
}

// records returns the records that rebuild the program. A tombstone, which has no intent, has an empty kind.
func (p *program) records() []Record {
	recs := []Record{{Type: Opened, Program: p.id, Tokens: p.budget}}
	if p.lostTokens > 0 {
		recs = append(recs, Record{Type: Charged, Program: p.id, Tokens: p.lostTokens})
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
