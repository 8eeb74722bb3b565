package hgsched

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopgrade/hgadmit"
	"hyssopgrade/hgcall"
	"hyssopgrade/hgpreset"
	"hyssopgrade/hgroute"
)

// minRetryAfter and maxRetryAfter bound when a refused caller is told to come back.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// pool is the queues and the router of targets that share endpoints.
type pool struct {
	o options

	mu      sync.Mutex
	router  *hgroute.Router
	preset  hgpreset.Preset
	queues  map[string]*hgadmit.Queue
	waiters map[uint64]*waiter
	lastID  uint64
	// first is the buffer for the calls that are tried for a free place.
	first []hgadmit.Waiting
}

type waiter struct {
	r       Request
	q       hgroute.Query
	since   time.Duration
	granted chan granted
}

type granted struct {
	grant  Grant
	choice hgroute.Choice
}

func newPool(r *hgroute.Router, p hgpreset.Preset, o options) *pool {
	return &pool{o: o, router: r, preset: p, queues: map[string]*hgadmit.Queue{}, waiters: map[uint64]*waiter{}}
}

func (p *pool) acquire(ctx context.Context, r Request) (g Grant, c hgroute.Choice, err error) {
	id, w, err := p.enqueue(r)
	if err != nil {
		return g, c, err
	}
	timer := time.NewTimer(r.Left)
	defer timer.Stop()
	select {
	case got := <-w.granted:
		return got.grant, got.choice, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = hgcall.NewRefusal(hgcall.KindNotRun, hgcall.ReasonDeadline, minRetryAfter, "no place for target %q within the deadline", r.Target)
	}
	if !p.withdraw(id, r.Target) {
		got := <-w.granted
		p.done(got.grant, Result{})
	}
	return g, c, err
}

// enqueue adds a call to its queue, or refuses it.
func (p *pool) enqueue(r Request) (id uint64, w *waiter, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.now()
	queue := p.queue(r.Target)
	p.lastID++
	id = p.lastID
	v := queue.Push(hgadmit.Waiting{ID: id, New: r.New, Served: r.Served, Since: now}, r.Left, now)
	if v.Refused {
		return 0, nil, overload(r, v)
	}
	w = &waiter{r: r, q: p.query(r), since: now, granted: make(chan granted, 1)}
	p.waiters[id] = w
	p.dispatch(r.Target, now)
	return id, w, nil
}

func overload(r Request, v hgadmit.Verdict) *hgcall.Refusal {
	after := min(max(v.Expected, minRetryAfter), maxRetryAfter)
	if v.Closed {
		return hgcall.NewRefusal(hgcall.KindNotRun, hgcall.ReasonOverload, after, "the preset in force takes no new programs")
	}
	return hgcall.NewRefusal(hgcall.KindNotRun, hgcall.ReasonOverload, after, "expected wait for target %q is %s", r.Target, v.Expected)
}

func (p *pool) query(r Request) hgroute.Query {
	return hgroute.Query{
		Target: r.Target, Program: xxhash.Sum64String(hgcall.Root(r.Program)), Home: p.router.Index(r.Home), HomeTokens: r.HomeTokens,
		Tokens: r.Tokens, Output: r.Output, Exclude: p.router.Index(r.Exclude), Alone: r.Alone, New: r.New,
	}
}

func (p *pool) queue(target string) *hgadmit.Queue {
	q := p.queues[target]
	if q == nil {
		q = hgadmit.NewQueue(p.preset)
		p.queues[target] = q
	}
	return q
}

func (p *pool) withdraw(id uint64, target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, id)
	return p.queue(target).Remove(id)
}

// dispatch grants places to waiting calls of a target, in order, until none of the first ones can start.
// While no endpoint has memory for a new program, only programs under way are tried.
func (p *pool) dispatch(target string, now time.Duration) {
	queue := p.queue(target)
	for queue.Len() > 0 && p.dispatchOne(queue, p.router.HasRoom(target, now), now) {
	}
}

func (p *pool) dispatchOne(queue *hgadmit.Queue, room bool, now time.Duration) bool {
	p.first = queue.First(p.first, room)
	for _, wt := range p.first {
		w := p.waiters[wt.ID]
		choice := p.router.Pick(w.q, now)
		if choice.Endpoint < 0 || choice.Wait {
			continue
		}
		queue.Grant(wt.ID, now)
		p.grant(wt.ID, w, choice, now)
		return true
	}
	return false
}

func (p *pool) grant(id uint64, w *waiter, choice hgroute.Choice, now time.Duration) {
	delete(p.waiters, id)
	p.router.Started(choice.Endpoint, w.q)
	g := Grant{Endpoint: p.router.Endpoint(choice.Endpoint).ID, Waited: now - w.since, pool: p, index: choice.Endpoint}
	w.granted <- granted{grant: g, choice: choice}
}

func (p *pool) done(g Grant, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.now()
	if r.Failed {
		p.router.Failed(g.index, r.Refused, now)
	}
	p.router.Finished(g.index, r.Timing, now)
	for _, t := range p.router.Endpoint(g.index).Targets {
		p.dispatch(t, now)
	}
}

// poke grants places that became free without a call's end.
func (p *pool) poke(now time.Duration) {
	for t := range p.queues {
		p.dispatch(t, now)
	}
}

func (p *pool) setPreset(preset hgpreset.Preset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.preset = preset
	p.router.SetPreset(preset)
	for _, q := range p.queues {
		q.SetPreset(preset)
	}
	p.poke(p.o.now())
}

func (p *pool) setLeaving(endpoint string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := p.router.Index(endpoint); i >= 0 {
		p.router.SetLeaving(i, leaving)
		p.poke(p.o.now())
	}
}

func (p *pool) setHeld(tokens map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.router.Len() {
		p.router.SetHeld(i, tokens[p.router.Endpoint(i).ID])
	}
	p.poke(p.o.now())
}

func (p *pool) peerLoads(peer string, calls, tokens map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.now()
	for i := range p.router.Len() {
		id := p.router.Endpoint(i).ID
		p.router.PeerLoad(i, peer, calls[id], tokens[id], now)
	}
	p.poke(now)
}

func (p *pool) loads() []hgroute.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.Loads(p.o.now())
}

func (p *pool) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiters)
}
