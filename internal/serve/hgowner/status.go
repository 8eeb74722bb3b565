package hgowner

import (
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgprogram"
)

// Breakdown is where the time of a program's calls went, in nanoseconds.
type Breakdown struct {
	// Calls is the number of finished calls.
	Calls  int           `json:"calls"`
	Queue  time.Duration `json:"queue"`
	Commit time.Duration `json:"commit"`
	Model  time.Duration `json:"model"`
	Tool   time.Duration `json:"tool"`
	Total  time.Duration `json:"total"`
	// LastCall is when the last call ended, by the node's monotonic clock.
	LastCall time.Duration `json:"lastCall"`
}

// ProgramStatus is a program's state and where its time went on this node.
type ProgramStatus struct {
	hgprogram.Summary
	Time Breakdown `json:"time"`
}

// maxBreakdowns is the number of programs from which on breakdowns of inactive ones are dropped.
const maxBreakdowns = 20000

// recordCall reports a finished call to the metrics and the log, and adds it to its program's breakdown.
func (o *Owner) recordCall(c hgcall.Call, r hgcall.Result, t Times) {
	o.cfg.Recorder.CallDone(c, r, t)
	o.cfg.Log.Info("call ended", "program", c.Program, "seq", c.Seq, "request", c.Request, "target", c.Target, "state", r.State,
		"reason", r.Reason, "queue", t.Queue, "commit", t.Commit, "endpoint", t.Endpoint, "total", t.Total)
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.times) >= maxBreakdowns {
		o.times = lo.OmitBy(o.times, func(_ string, b Breakdown) bool { return o.now()-b.LastCall > o.cfg.Limits.Retain/10 })
	}
	b := o.times[c.Program]
	b.Calls++
	b.Queue += t.Queue
	b.Commit += t.Commit
	b.Total += t.Total
	if c.Kind == hgcall.Model {
		b.Model += t.Endpoint
	} else {
		b.Tool += t.Endpoint
	}
	b.LastCall = o.now()
	o.times[c.Program] = b
	if r.State == hgcall.Done {
		o.retries.Called(o.now())
	}
}

// Program returns the status of a program; the error is a *NotOwner or an invalid Refusal.
func (o *Owner) Program(id string) (p ProgramStatus, err error) {
	if err := hgcall.CheckProgram(id); err != nil {
		return p, err
	}
	s := o.shardOf(id)
	s.mu.Lock()
	if s.epoch == 0 {
		s.mu.Unlock()
		return p, &NotOwner{Shard: s.number}
	}
	sum, ok := s.state.Summary(id, o.now())
	s.mu.Unlock()
	if !ok {
		return p, hgcall.Invalid("program", "%q does not exist", id)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return ProgramStatus{Summary: sum, Time: o.times[id]}, nil
}

// History returns a program's conversation; the error is a *NotOwner or an invalid Refusal.
func (o *Owner) History(id string) (ms []hgcall.Message, err error) {
	if err := hgcall.CheckProgram(id); err != nil {
		return nil, err
	}
	s := o.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 {
		return nil, &NotOwner{Shard: s.number}
	}
	if _, ok := s.state.Summary(id, o.now()); !ok {
		return nil, hgcall.Invalid("program", "%q does not exist", id)
	}
	return s.state.History(id), nil
}

// Programs returns the summaries of the programs in the owned shards.
func (o *Owner) Programs() []hgprogram.Summary {
	return lo.FlatMap(o.shards, func(s *shard, _ int) []hgprogram.Summary {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.epoch == 0 {
			return nil
		}
		return s.state.Summaries(o.now())
	})
}

// Demand returns the total length, in tokens, of the conversations of the owned shards' live programs, by the endpoint that last ran
// them.
func (o *Owner) Demand() map[string]int {
	sum := map[string]int{}
	for _, s := range o.shards {
		s.mu.Lock()
		if s.keeper != nil {
			s.keeper.AddDemand(sum)
		}
		s.mu.Unlock()
	}
	return sum
}
