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

// Caller sends calls; *hgcaller.Client is one.
type Caller interface {
	// Call sends a call until it has a final answer.
	Call(ctx context.Context, c hgcall.Call) (a hgcaller.Answer, err error)
	// End ends a program.
	End(ctx context.Context, program string) (err error)
}

// Options set up a replay.
type Options struct {
	// Speed divides the pauses of the trace.
	Speed float64
	// Deadline bounds each call.
	Deadline time.Duration
	// Patience bounds the time in which a refused call comes back.
	Patience time.Duration
	// Progress is told the numbers of ended programs and of all.
	Progress func(done, all int)
	// Prefix is put before each program's identifier, so that a trace can be replayed more than once.
	Prefix string
}

// Replay replays traces.
type Replay struct {
	caller Caller
	opts   Options
	start  time.Time

	mu     sync.Mutex
	report Report
	left   map[string]int
}

// NewReplay returns a replay.
func NewReplay(c Caller, opts Options) *Replay {
	return &Replay{caller: c, opts: opts, report: newReport(), left: map[string]int{}}
}

// Run replays the programs and returns the report.
func (p *Replay) Run(ctx context.Context, programs []Program) *Report {
	p.start = time.Now()
	for _, pr := range programs {
		p.left[hgcall.Root(pr.ID)]++
	}
	var wg sync.WaitGroup
	for _, pr := range programs {
		wg.Go(func() {
			ok := p.program(ctx, pr)
			p.ended(ctx, pr, ok, len(programs))
		})
	}
	wg.Wait()
	return &p.report
}

// ended counts an ended program and ends the root program after its last part.
func (p *Replay) ended(ctx context.Context, pr Program, ok bool, all int) {
	root := hgcall.Root(pr.ID)
	p.mu.Lock()
	p.left[root]--
	last := p.left[root] == 0
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

// program runs one program's calls in order; ok is false when one had no answer.
func (p *Replay) program(ctx context.Context, pr Program) (ok bool) {
	var history []hgcall.Message
	var first time.Time
	for i, l := range pr.Calls {
		wait := time.Duration(float64(l.AfterMs)/p.opts.Speed) * time.Millisecond
		if i == 0 {
			wait -= time.Since(p.start)
		}
		if !sleep(ctx, wait) {
			return false
		}
		if i == 0 {
			first = time.Now()
		}
		if !p.call(ctx, l, &history) {
			return false
		}
	}
	if _, sub := hgcall.Parent(pr.ID); !sub {
		p.mu.Lock()
		p.report.observe(time.Since(first))
		p.mu.Unlock()
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(d, 0)):
		return true
	}
}

// call sends one call until it is answered or given up; a request that was not run comes back under a new identifier.
func (p *Replay) call(ctx context.Context, l Line, history *[]hgcall.Message) (ok bool) {
	began := time.Now()
	for try := 0; ; try++ {
		c := p.build(l, try)
		a, err := p.caller.Call(ctx, c)
		p.sent(c, a, err)
		if err == nil {
			return p.check(c, a, history)
		}
		var r *hgcall.Refusal
		if !errors.As(err, &r) || r.Kind != hgcall.KindNotRun || r.RetryAfter == 0 || time.Since(began) > p.opts.Patience {
			return false
		}
		if !sleep(ctx, r.RetryAfter) {
			return false
		}
	}
}

// build returns the call of a line.
func (p *Replay) build(l Line, try int) hgcall.Call {
	id := p.opts.Prefix + l.Program
	c := hgcall.Call{
		Program: id, Seq: l.Seq, Request: fmt.Sprintf("%s-%d-%d", strings.ReplaceAll(id, "/", "."), l.Seq, try),
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

// bytesPerToken is the size of a token in a replayed message.
const bytesPerToken = 4

// minOutputTokens is the length of the digest with which a stand-in's answer begins.
const minOutputTokens = 4

// check compares a model's answer with the one that the whole conversation must give.
func (p *Replay) check(c hgcall.Call, a hgcaller.Answer, history *[]hgcall.Message) (ok bool) {
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

// sent counts a call's end.
func (p *Replay) sent(c hgcall.Call, a hgcaller.Answer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Calls++
	p.report.Asked += a.Tries
	p.report.calls[c.Request] = c
	var r *hgcall.Refusal
	if errors.As(err, &r) {
		p.report.Refusals[fmt.Sprintf("%s/%s", r.Kind, r.Reason)]++
		p.report.notRun[c.Request] = p.report.notRun[c.Request] || r.Kind == hgcall.KindNotRun
		p.report.unknown[c.Request] = p.report.unknown[c.Request] || r.Kind == hgcall.KindUnknown && r.Reason == hgcall.ReasonDispatched
		return
	}
	if err == nil {
		p.report.answered[c.Request] = true
	}
}
