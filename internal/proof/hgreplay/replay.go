package hgreplay

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/internal/proof/hgstandin"
	"hyssopgrade/internal/serve/hgcaller"
)

// Caller sends calls to the system under test; *hgcaller.Client implements it.
type Caller interface {
	// Call sends a call, with retries, until it has a final answer.
	Call(ctx context.Context, c hgcall.Call) (a hgcaller.Answer, err error)
	// End ends a program; the replay calls it for root programs only.
	End(ctx context.Context, program string) (err error)
}

// Options configure a replay.
type Options struct {
	// Speed divides the pauses of the trace.
	Speed float64
	// Deadline is the time limit of each call.
	Deadline time.Duration
	// RetryWindow is the time within which a refused call is retried.
	RetryWindow time.Duration
	// Progress is called after each program with the number of programs that have ended and of all programs.
	Progress func(done, all int)
	// Prefix is put before each program's identifier, so that a trace can be replayed more than once.
	Prefix string
}

// Replay replays the programs of a trace and collects their outcomes; it is used for one run.
type Replay struct {
	caller Caller
	opts   Options
	start  time.Time

	mu     sync.Mutex
	report Report
	// pending is the number of programs that have not ended, by root program, itself included.
	pending map[string]int
}

// NewReplay returns a replay that sends its calls through c.
func NewReplay(c Caller, opts Options) *Replay {
	return &Replay{caller: c, opts: opts, report: newReport(), pending: map[string]int{}}
}

// Run replays the programs concurrently and returns the report once all have ended. Report.CheckRecords adds the check
// against the endpoints' records.
func (p *Replay) Run(ctx context.Context, programs []Program) *Report {
	p.start = time.Now()
	for _, pr := range programs {
		p.pending[hgcall.Root(pr.ID)]++
	}
	var wg sync.WaitGroup
	for _, pr := range programs {
		wg.Go(func() {
			ok := p.runProgram(ctx, pr)
			p.programEnded(ctx, pr, ok, len(programs))
		})
	}
	wg.Wait()
	return &p.report
}

// programEnded counts a program, and ends its root program if that and all its sub-agents have ended.
func (p *Replay) programEnded(ctx context.Context, pr Program, ok bool, all int) {
	root := hgcall.Root(pr.ID)
	p.mu.Lock()
	p.pending[root]--
	last := p.pending[root] == 0
	if ok {
		p.report.Done++
	} else {
		p.report.Undone++
	}
	n := p.report.Done + p.report.Undone
	p.mu.Unlock()
	if last {
		ctx, cancel := context.WithTimeout(ctx, p.opts.Deadline)
		defer cancel()
		_ = p.caller.End(ctx, p.opts.Prefix+root)
	}
	p.opts.Progress(n, all)
}

// runProgram runs a program's calls in order, and stops with ok false at the first one without an answer.
func (p *Replay) runProgram(ctx context.Context, pr Program) (ok bool) {
	var history []hgcall.Message
	var start time.Time
	for i, l := range pr.Calls {
		wait := time.Duration(float64(l.AfterMs)/p.opts.Speed) * time.Millisecond
		if i == 0 {
			wait -= time.Since(p.start)
		}
		if !sleep(ctx, wait) {
			return false
		}
		if i == 0 {
			start = time.Now()
		}
		if !p.runCall(ctx, l, &history) {
			return false
		}
	}
	if _, sub := hgcall.Parent(pr.ID); !sub {
		p.mu.Lock()
		p.report.observe(time.Since(start))
		p.mu.Unlock()
	}
	return true
}

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(d, 0)):
		return true
	}
}

// runCall sends a call until it is answered or can't be retried. A request that was refused as not run is retried under a
// new identifier, after the delay in the refusal and within RetryWindow.
func (p *Replay) runCall(ctx context.Context, l Line, history *[]hgcall.Message) (ok bool) {
	start := time.Now()
	for attempt := 0; ; attempt++ {
		c := p.buildCall(l, attempt)
		a, err := p.caller.Call(ctx, c)
		p.record(c, a, err)
		if err == nil {
			return p.checkAnswer(c, a, history)
		}
		var r *hgcall.Refusal
		if !errors.As(err, &r) || r.Kind != hgcall.KindNotRun || r.RetryAfter == 0 || time.Since(start) > p.opts.RetryWindow {
			return false
		}
		if !sleep(ctx, r.RetryAfter) {
			return false
		}
	}
}

// buildCall returns the call of a trace line. Each attempt has its own request identifier.
func (p *Replay) buildCall(l Line, attempt int) hgcall.Call {
	id := p.opts.Prefix + l.Program
	c := hgcall.Call{
		Program: id, Seq: l.Seq, Request: fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(id, "/", "."), l.Seq, attempt),
		Kind: l.Kind, Target: l.Target, Idempotent: l.Idempotent, Budget: l.BudgetTokens, Deadline: p.opts.Deadline,
	}
	if l.Kind == hgcall.Tool {
		c.Body = fmt.Appendf(nil, `{"durationMs":%d,"program":%q,"seq":%d}`, l.DurationMs, id, l.Seq)
		return c
	}
	text := fmt.Sprintf("%s call %d ", id, l.Seq)
	if n := l.NewTokens*bytesPerToken - len(text); n > 0 {
		text += strings.Repeat("word", n/bytesPerToken+1)[:n]
	}
	c.Messages = []hgcall.Message{{Role: "user", Content: text}}
	c.MaxTokens = uint64(max(l.OutputTokens, minOutputTokens))
	return c
}

// bytesPerToken is the assumed size of a token in a replayed message.
const bytesPerToken = 4

// minOutputTokens is the length of the digest at the start of a stand-in's answer; a shorter answer would cut it off.
const minOutputTokens = 4

// checkAnswer checks that a tool's answer names its request, and that a model's answer is the one that the stand-in gives
// for the whole history of the program. It appends the call to the history.
func (p *Replay) checkAnswer(c hgcall.Call, a hgcaller.Answer, history *[]hgcall.Message) (ok bool) {
	if c.Kind == hgcall.Tool {
		if !strings.Contains(string(a.Body), c.Request) {
			p.violation("answer of request %q is not its own: %.80s", c.Request, a.Body)
		}
		return a.State == hgcall.Done
	}
	*history = append(*history, c.Messages...)
	want := hgstandin.Answer(*history, c.MaxTokens)
	if string(a.Body) != want {
		p.violation("answer of request %q does not follow from its program's history: %.40s instead of %.40s", c.Request, a.Body, want)
	}
	*history = append(*history, hgcall.Message{Role: "assistant", Content: want})
	return true
}

func (p *Replay) violation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.violation(format, args...)
}

// record adds the outcome of a request to the report.
func (p *Replay) record(c hgcall.Call, a hgcaller.Answer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Calls++
	p.report.Sent += a.Tries
	p.report.calls[c.Request] = c
	var r *hgcall.Refusal
	if errors.As(err, &r) {
		p.report.Refusals[fmt.Sprintf("%s/%s", r.Kind, r.Reason)]++
		p.report.notRun[c.Request] = p.report.notRun[c.Request] || r.Kind == hgcall.KindNotRun
		p.report.unknown[c.Request] = p.report.unknown[c.Request] || r.Kind == hgcall.KindUnknown && r.Reason == hgcall.ReasonOutcomeLost
		return
	}
	if err == nil {
		p.report.answered[c.Request] = true
	}
}
