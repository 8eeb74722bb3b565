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

// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to retry.
const (
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// pool holds the queues and the router of the targets that share endpoints.
type pool struct {
	o options

	mu      sync.Mutex
	router  *hgroute.Router
	preset  hgpreset.Preset
	queues  map[string]*hgadmit.Queue
	waiters map[uint64]*waiter
	lastID  uint64
	// candidates is a reused buffer for the first waiting calls of a queue, which dispatchOne tries in order.
	candidates []hgadmit.Waiting
}

// waiter is a call in a queue; its channel receives the placement, at most one.
type waiter struct {
	r       Request
	q       hgroute.Query
	since   time.Duration
	granted chan placement
}

// placement is a granted slot with the router's choice that led to it.
type placement struct {
	grant  Grant
	choice hgroute.Choice
}

func newPool(r *hgroute.Router, p hgpreset.Preset, o options) *pool {
	return &pool{o: o, router: r, preset: p, queues: map[string]*hgadmit.Queue{}, waiters: map[uint64]*waiter{}}
}

// acquire waits until the call is granted a slot, ctx ends, or the time left for the call has passed. A slot that is granted while the
// call gives up is returned at once.
func (p *pool) acquire(ctx context.Context, r Request) (g Grant, c hgroute.Choice, err error) {
	id, w, err := p.enqueue(r)
	if err != nil {
		return g, c, err
	}
	timer := time.NewTimer(r.Remaining)
	defer timer.Stop()
	select {
	case got := <-w.granted:
		return got.grant, got.choice, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = hgcall.NewRefusal(hgcall.KindNotRun, hgcall.ReasonDeadline, minRetryAfter, "no place for target %q within the deadline", r.Target)
	}
	if !p.cancel(id, r.Target) {
		got := <-w.granted
		p.done(got.grant, Result{})
	}
	return g, c, err
}

// enqueue adds a call to its target's queue, or refuses it.
func (p *pool) enqueue(r Request) (id uint64, w *waiter, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.now()
	queue := p.queue(r.Target)
	p.lastID++
	id = p.lastID
	v := queue.Push(hgadmit.Waiting{ID: id, New: r.New, Served: r.Served, Since: now}, r.Remaining, now)
	if v.Refused {
		return 0, nil, overloadRefusal(r, v)
	}
	w = &waiter{r: r, q: p.query(r), since: now, granted: make(chan placement, 1)}
	p.waiters[id] = w
	p.dispatch(r.Target, now)
	return id, w, nil
}

// overloadRefusal returns the refusal of a call that the queue did not admit.
func overloadRefusal(r Request, v hgadmit.Verdict) *hgcall.Refusal {
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

// cancel removes a call from its queue; it returns false if the call was no longer waiting.
func (p *pool) cancel(id uint64, target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, id)
	return p.queue(target).Remove(id)
}

// dispatch grants slots to waiting calls of a target, in order, until none of the first ones can start. While no endpoint has memory
// for a new program, only calls of programs in progress are tried. The caller holds the lock.
func (p *pool) dispatch(target string, now time.Duration) {
	queue := p.queue(target)
	for queue.Len() > 0 && p.dispatchOne(queue, p.router.HasRoom(target, now), now) {
	}
}

// dispatchOne grants a slot to the first waiting call that can start; it returns false if none can.
func (p *pool) dispatchOne(queue *hgadmit.Queue, room bool, now time.Duration) bool {
	p.candidates = queue.First(p.candidates, room)
	for _, wt := range p.candidates {
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
	w.granted <- placement{grant: g, choice: choice}
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

// dispatchAll grants slots of all targets after a change other than the end of a call, such as a new load report. The caller holds
// the lock.
func (p *pool) dispatchAll(now time.Duration) {
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
	p.dispatchAll(p.o.now())
}

func (p *pool) setLeaving(endpoint string, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := p.router.Index(endpoint); i >= 0 {
		p.router.SetLeaving(i, leaving)
		p.dispatchAll(p.o.now())
	}
}

func (p *pool) setHeld(tokens map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.router.Len() {
		p.router.SetHeld(i, tokens[p.router.Endpoint(i).ID])
	}
	p.dispatchAll(p.o.now())
}

func (p *pool) peerLoads(peer string, calls, tokens map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.now()
	for i := range p.router.Len() {
		id := p.router.Endpoint(i).ID
		p.router.SetPeerLoad(i, peer, calls[id], tokens[id], now)
	}
	p.dispatchAll(now)
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
