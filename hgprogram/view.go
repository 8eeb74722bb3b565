package hgprogram

import (
	"sort"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgcall"
)

// OpenCall is a call that was begun and has no outcome yet. The next owner of a shard has to find out what became of it.
type OpenCall struct {
	Program    string
	Request    string
	Service    string
	Idempotent bool
}

// OpenCalls returns the calls without an outcome, ordered by program.
func (s *Shard) OpenCalls() []OpenCall {
	var calls []OpenCall
	for _, p := range s.programs {
		if t := p.open; t != nil {
			calls = append(calls, OpenCall{Program: p.id, Request: t.request, Service: hgcall.Service(t.kind, t.target), Idempotent: t.idempotent})
		}
	}
	sort.Slice(calls, func(i, j int) bool { return calls[i].Program < calls[j].Program })
	return calls
}

// Summary describes one program for operators.
type Summary struct {
	Program  string `json:"program"`
	Calls    int    `json:"calls"`
	NextSeq  uint64 `json:"nextSeq"`
	Running  bool   `json:"running"`
	Ended    bool   `json:"ended"`
	Budget   uint64 `json:"budgetTokens"`
	Spent    uint64 `json:"spentTokens"`
	Reserved uint64 `json:"reservedTokens"`
	Context  uint64 `json:"contextTokens"`
	// Idle is the time since the program was last active.
	Idle time.Duration `json:"idle"`
}

// Summary returns the summary of one program; ok is false if the shard does not hold it.
func (s *Shard) Summary(programID string, now time.Duration) (sum Summary, ok bool) {
	p := s.programs[programID]
	if p == nil {
		return sum, false
	}
	return Summary{
		Program: p.id, Calls: len(p.turns), NextSeq: p.nextSeq, Running: p.open != nil, Ended: p.ended,
		Budget: p.budget, Spent: p.spent, Reserved: p.reserved, Context: p.contextTokens, Idle: now - p.lastActive,
	}, true
}

// Summaries returns the summaries of all programs, ordered by identifier.
func (s *Shard) Summaries(now time.Duration) []Summary {
	ids := lo.Keys(s.programs)
	sort.Strings(ids)
	return lo.Map(ids, func(id string, _ int) Summary {
		sum, _ := s.Summary(id, now)
		return sum
	})
}

// History returns a program's conversation, or nil for an unknown program.
func (s *Shard) History(programID string) []hgcall.Message {
	p := s.programs[programID]
	if p == nil {
		return nil
	}
	return p.history()
}
