package hgbench

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgpreset"
	"hyssopgrade/hgretain"
	"hyssopgrade/hgretry"
	"hyssopgrade/hgroute"
	"hyssopgrade/internal/serve/hgsched"
)

// Policy is what is measured: the preset's policies and whether prefixes are released.
type Policy struct {
	Name    string
	Route   string
	Queue   string
	Release bool
}

// Policies are hyssopgrade's and the baselines.
var Policies = []Policy{
	{Name: "hyssopgrade", Route: "score", Queue: "leastService", Release: true},
	{Name: "roundRobin", Route: "roundRobin", Queue: "arrival"},
	{Name: "leastInFlight", Route: "leastInFlight", Queue: "arrival"},
	{Name: "hashAffinity", Route: "hashAffinity", Queue: "arrival"},
}

// Case is one workload.
type Case struct {
	Name  string
	Shape Shape
	// Load is the offered load over what the replicas carry.
	Load float64
	// Arrivals is the time in which programs arrive.
	Arrivals time.Duration
	// Lose is the number of engines that are down from a third to two thirds of the arrivals.
	Lose int
	// Lag is the time between two heartbeats of the nodes.
	Lag time.Duration
}

// Cases returns the workloads: ordinary, peak and loss of replicas in the peak, for each deployment.
func Cases() []Case {
	var cases []Case
	for _, s := range []Shape{Derwent, Fjordbom} {
		cases = append(cases,
			Case{Name: "ordinary", Shape: s, Load: 0.6, Arrivals: caseArrivals, Lag: heartbeat},
			Case{Name: "peak", Shape: s, Load: 1.3, Arrivals: caseArrivals, Lag: heartbeat},
			Case{Name: "loss", Shape: s, Load: 1.3, Arrivals: caseArrivals, Lag: laggingHeartbeat, Lose: 2})
	}
	return cases
}

// Times and sizes of all cases.
const (
	caseArrivals     = 120 * time.Second
	heartbeat        = 500 * time.Millisecond
	laggingHeartbeat = 2 * time.Second
	sweepEvery       = 5 * time.Second
	nodes            = 9
	callDeadline     = 60 * time.Second
	patience         = 300 * time.Second
	goodWithin       = 60 * time.Second
	maxDispatches    = 4
)

// entry is one node: its scheduler and what it knows of prefixes and retries.
type entry struct {
	sched *hgsched.Scheduler
	mu    sync.Mutex
	keep  *hgretain.Keeper
	retry *hgretry.Budget
}

// bench is one run.
type bench struct {
	c       Case
	p       Policy
	start   time.Time
	engines map[string]*Engine
	nodes   []*entry
	mu      sync.Mutex
	result  Result
	served  map[string]uint64
}

// preset returns the preset in force in a run.
func preset(p Policy) hgpreset.Preset {
	ps := hgpreset.Shipped()["peak"]
	ps.RoutePolicy, ps.QueuePolicy = p.Route, p.Queue
	return ps
}

// Run measures one policy under one workload from one seed.
func Run(c Case, p Policy, seed uint64) Result {
	b := &bench{c: c, p: p, start: time.Now(), engines: map[string]*Engine{}, served: map[string]uint64{}, result: newResult()}
	var eps []hgroute.Endpoint
	for i := range c.Shape.Replicas {
		id := fmt.Sprintf("engine-%d", i)
		b.engines[id] = NewEngine(c.Shape.Engine)
		eps = append(eps, hgroute.Endpoint{ID: id, Domain: fmt.Sprint(i % 3), Targets: []string{model}, MemoryTokens: c.Shape.Engine.MemoryTokens})
	}
	ps := preset(p)
	for i := range nodes {
		b.nodes = append(b.nodes, &entry{
			sched: hgsched.NewScheduler(fmt.Sprint("node-", i), fmt.Sprint(i%3), eps, ps, hgsched.WithNow(b.now)),
			keep:  hgretain.NewKeeper(ps), retry: hgretry.NewBudget(ps.RetryPercent),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { b.every(ctx, c.Lag, b.beat) })
	background.Go(func() { b.every(ctx, sweepEvery, b.sweep) })
	background.Go(func() { b.lose(ctx) })
	b.runAll(Generate(c.Shape, c.Load, c.Arrivals, seed))
	cancel()
	background.Wait()
	for _, e := range b.engines {
		b.result.Written += e.written
		b.result.Unused += e.written - e.reused
		b.result.Evictions += e.evictions
		e.Close()
	}
	return b.result
}

// model is the one target of a run.
const model = "model"

func (b *bench) now() time.Duration { return time.Since(b.start) }

func (b *bench) every(ctx context.Context, d time.Duration, fn func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			fn()
		}
	}
}

// beat tells every node the others' calls in flight.
func (b *bench) beat() {
	for i, from := range b.nodes {
		calls, held := from.sched.InFlight(), map[string]int{}
		from.mu.Lock()
		from.keep.Demand(held)
		from.mu.Unlock()
		from.sched.SetHeld(held)
		for j, to := range b.nodes {
			if i != j {
				to.sched.PeerLoads(fmt.Sprint("node-", i), calls, held)
			}
		}
	}
}

// sweep tells the nodes what the engines hold, as the nodes' own sweep does.
func (b *bench) sweep() {
	for id, e := range b.engines {
		held, share := e.Held(), e.Share()
		for _, n := range b.nodes {
			n.mu.Lock()
			n.keep.Pressure(id, share)
			n.keep.Holds(id, held)
			n.mu.Unlock()
		}
	}
}

// lose takes engines down in the middle third of the arrivals.
func (b *bench) lose(ctx context.Context) {
	for i, down := range []bool{true, false} {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(i+1)*b.c.Arrivals/3 - b.now()):
		}
		for k := range b.c.Lose {
			b.engines[fmt.Sprintf("engine-%d", k)].SetDown(down)
		}
	}
}

func (b *bench) runAll(programs []Program) {
	var wg sync.WaitGroup
	for _, p := range programs {
		wg.Go(func() {
			time.Sleep(p.Arrive)
			began := time.Now()
			ok := b.program(p, began)
			b.finished(p, time.Since(began), ok)
		})
	}
	wg.Wait()
}

// program runs a program's turns; ok is false when its caller gave up.
func (b *bench) program(p Program, began time.Time) (ok bool) {
	n := b.nodes[xxhash.Sum64String(hgcall.Root(p.ID))%nodes]
	tokens := 0
	for i, t := range p.Turns {
		if !b.turn(n, p, i, tokens, began) {
			return false
		}
		tokens += t.New + t.Output
		if i == len(p.Turns)-1 {
			break
		}
		b.pause(n, p.ID, t, began)
	}
	b.end(n, p.ID)
	return true
}

// pause waits for the tool and the sub-agents of a turn.
func (b *bench) pause(n *entry, id string, t Turn, began time.Time) {
	n.mu.Lock()
	orders := n.keep.Paused(id, t.Tool, b.now())
	n.mu.Unlock()
	b.order(orders)
	var wg sync.WaitGroup
	for _, a := range t.Agents {
		wg.Go(func() { b.program(a, began) })
	}
	time.Sleep(t.Pause)
	wg.Wait()
	n.mu.Lock()
	n.keep.Resumed(id, b.now())
	n.mu.Unlock()
}

func (b *bench) end(n *entry, id string) {
	n.mu.Lock()
	orders := n.keep.Ended(id)
	n.mu.Unlock()
	b.order(orders)
}

func (b *bench) order(orders []hgretain.Order) {
	if !b.p.Release {
		return
	}
	for _, o := range orders {
		if o.Action == hgretain.Release {
			b.engines[o.Endpoint].Release(o.Program)
		}
	}
}

// turn runs one model call; a refused one comes back when it was told to, until its caller's patience ends.
func (b *bench) turn(n *entry, p Program, i, tokens int, began time.Time) (ok bool) {
	asked := time.Now()
	for time.Since(began) < patience {
		o, err := b.call(n, p, i, tokens)
		if err == nil {
			decoding := o.total - o.firstToken
			gap := decoding / time.Duration(max(p.Turns[i].Output-1, 1))
			b.count(func(res *Result) { res.answered(time.Since(asked)-decoding, gap) })
			return true
		}
		var r *hgcall.Refusal
		after := time.Second
		if errors.As(err, &r) {
			after = r.RetryAfter
			b.count(func(res *Result) { res.Refusals++ })
		}
		time.Sleep(after)
	}
	return false
}

// call dispatches a call until an engine finished it, within the retry budget.
func (b *bench) call(n *entry, p Program, i, tokens int) (o outcome, err error) {
	t := p.Turns[i]
	exclude := ""
	root := hgcall.Root(p.ID)
	for try := 0; ; try++ {
		n.mu.Lock()
		home, held, _ := n.keep.Home(p.ID)
		if try == 0 {
			n.retry.Called(b.now())
		}
		n.mu.Unlock()
		b.mu.Lock()
		served := b.served[root]
		b.mu.Unlock()
		g, err := n.sched.Acquire(context.Background(), hgsched.Request{
			Program: p.ID, Target: model, New: i == 0 && p.ID == root, Served: served, Home: home, HomeTokens: held,
			Tokens: tokens + t.New, Output: t.Output, Exclude: exclude, Left: callDeadline,
		})
		if err != nil {
			return o, err
		}
		b.count(func(res *Result) { res.Dispatches++ })
		o = b.engines[g.Endpoint].submit(p.ID, tokens+t.New, t.Output)
		if o.err == nil {
			b.ran(n, p.ID, root, g, t, tokens, o)
			return o, nil
		}
		n.sched.Done(g, hgsched.Result{Failed: true, Refused: true})
		n.mu.Lock()
		n.keep.EndpointLost(g.Endpoint)
		allowed := n.retry.Allow(b.now())
		n.mu.Unlock()
		if !allowed || try+1 == maxDispatches {
			return o, o.err
		}
		b.count(func(res *Result) { res.Retries++ })
		exclude = g.Endpoint
	}
}

func (b *bench) ran(n *entry, id, root string, g hgsched.Grant, t Turn, tokens int, o outcome) {
	n.sched.Done(g, hgsched.Result{Timing: hgroute.Timing{FirstToken: o.firstToken, Total: o.total, Computed: o.computed, Output: t.Output}})
	n.mu.Lock()
	home, _, held := n.keep.Home(id)
	orders := n.keep.Ran(id, g.Endpoint, tokens+t.New+t.Output, b.now())
	n.mu.Unlock()
	b.order(orders)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.served[root] += uint64(t.New + t.Output)
	b.result.Calls++
	if held && home != g.Endpoint {
		b.result.Moves++
	}
}

func (b *bench) count(fn func(res *Result)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fn(&b.result)
}

func (b *bench) finished(p Program, d time.Duration, ok bool) {
	b.count(func(res *Result) { res.add(d, ok) })
}
