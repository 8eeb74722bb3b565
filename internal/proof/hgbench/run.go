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

// Policy is a combination of policies to measure.
type Policy struct {
	Name string
	// Route and Queue are the preset's routing and queue policies.
	Route string
	Queue string
	// Release makes engines drop the prefixes that the keeper orders to release.
	Release bool
}

// Policies lists hyssopgrade's policies and the baselines.
var Policies = []Policy{
	{Name: "hyssopgrade", Route: "score", Queue: "leastService", Release: true},
	{Name: "roundRobin", Route: "roundRobin", Queue: "arrival"},
	{Name: "leastInFlight", Route: "leastInFlight", Queue: "arrival"},
	{Name: "hashAffinity", Route: "hashAffinity", Queue: "arrival"},
}

// Case is a workload: the programs, their arrival rate, and faults.
type Case struct {
	Name  string
	Shape Shape
	// Load is the ratio of the offered load to the capacity of the replicas with perfect caches.
	Load float64
	// Arrivals is the time in which programs arrive.
	Arrivals time.Duration
	// LostEngines is the number of engines that are down in the middle third of Arrivals.
	LostEngines int
	// HeartbeatPeriod is the time between two load reports of a node.
	HeartbeatPeriod time.Duration
}

// Cases returns three workloads for each deployment: ordinary load, peak load, and peak load with lost replicas.
func Cases() []Case {
	var cases []Case
	for _, s := range []Shape{Derwent, Fjordbom} {
		cases = append(cases,
			Case{Name: "ordinary", Shape: s, Load: 0.6, Arrivals: caseArrivals, HeartbeatPeriod: heartbeat},
			Case{Name: "peak", Shape: s, Load: 1.3, Arrivals: caseArrivals, HeartbeatPeriod: heartbeat},
			Case{Name: "loss", Shape: s, Load: 1.3, Arrivals: caseArrivals, HeartbeatPeriod: laggingHeartbeat, LostEngines: 2})
	}
	return cases
}

// Parameters of all cases.
const (
	caseArrivals     = 120 * time.Second
	heartbeat        = 500 * time.Millisecond
	laggingHeartbeat = 2 * time.Second
	sweepPeriod      = 5 * time.Second
	nodes            = 9
	callDeadline     = 60 * time.Second
	callerTimeout    = 300 * time.Second
	goodLatency      = 60 * time.Second
	maxDispatches    = 4
)

// node is one simulated node: the production scheduler, prefix keeper and retry budget. mu guards the latter two.
type node struct {
	sched   *hgsched.Scheduler
	mu      sync.Mutex
	keeper  *hgretain.Keeper
	retries *hgretry.Budget
}

// bench is the state of one run. mu guards result and servedTokens.
type bench struct {
	workload Case
	policy   Policy
	start    time.Time
	engines  map[string]*Engine
	nodes    []*node
	mu       sync.Mutex
	result   Result
	// servedTokens is the number of new and generated tokens by root program; queue policies use it.
	servedTokens map[string]uint64
}

// preset returns the preset of a run: the shipped one for peak load with the policy's routing and queue.
func preset(p Policy) hgpreset.Preset {
	ps := hgpreset.Shipped()["peak"]
	ps.RoutePolicy, ps.QueuePolicy = p.Route, p.Queue
	return ps
}

// Run measures a policy under a workload whose programs follow from seed.
func Run(c Case, p Policy, seed uint64) Result {
	b := &bench{workload: c, policy: p, start: time.Now(), engines: map[string]*Engine{}, servedTokens: map[string]uint64{}, result: newResult()}
	var eps []hgroute.Endpoint
	for i := range c.Shape.Replicas {
		id := fmt.Sprintf("engine-%d", i)
		b.engines[id] = NewEngine(c.Shape.Engine)
		eps = append(eps, hgroute.Endpoint{ID: id, Domain: fmt.Sprint(i % 3), Targets: []string{model}, MemoryTokens: c.Shape.Engine.MemoryTokens})
	}
	ps := preset(p)
	for i := range nodes {
		b.nodes = append(b.nodes, &node{
			sched:  hgsched.NewScheduler(fmt.Sprint("node-", i), fmt.Sprint(i%3), eps, ps, hgsched.WithNow(b.now)),
			keeper: hgretain.NewKeeper(ps), retries: hgretry.NewBudget(ps.RetryPercent),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { b.every(ctx, c.HeartbeatPeriod, b.exchangeLoads) })
	background.Go(func() { b.every(ctx, sweepPeriod, b.reportIdlePrefixes) })
	background.Go(func() { b.failEngines(ctx) })
	b.runPrograms(Generate(c.Shape, c.Load, c.Arrivals, seed))
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

// model is the only target of a run.
const model = "model"

func (b *bench) now() time.Duration { return time.Since(b.start) }

// every calls fn once per period d until ctx ends.
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

// exchangeLoads reports each node's calls in flight and held prefixes to the others, as heartbeats do.
func (b *bench) exchangeLoads() {
	for i, from := range b.nodes {
		calls, held := from.sched.InFlight(), map[string]int{}
		from.mu.Lock()
		from.keeper.AddDemand(held)
		from.mu.Unlock()
		from.sched.SetHeld(held)
		for j, to := range b.nodes {
			if i != j {
				to.sched.SetPeerLoads(fmt.Sprint("node-", i), calls, held)
			}
		}
	}
}

// reportIdlePrefixes reports the engines' idle prefixes and memory use to the nodes, like the periodic sweep of the
// production nodes.
func (b *bench) reportIdlePrefixes() {
	for id, e := range b.engines {
		held, share := e.IdlePrefixes(), e.MemoryUse()
		for _, n := range b.nodes {
			n.mu.Lock()
			n.keeper.SetMemoryUse(id, share)
			n.keeper.SetContents(id, held)
			n.mu.Unlock()
		}
	}
}

// failEngines takes engines down in the middle third of the arrivals, and brings them back up.
func (b *bench) failEngines(ctx context.Context) {
	for i, down := range []bool{true, false} {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(i+1)*b.workload.Arrivals/3 - b.now()):
		}
		for k := range b.workload.LostEngines {
			b.engines[fmt.Sprintf("engine-%d", k)].SetDown(down)
		}
	}
}

// runPrograms runs each program from its arrival on, and waits for all.
func (b *bench) runPrograms(programs []Program) {
	var wg sync.WaitGroup
	for _, p := range programs {
		wg.Go(func() {
			time.Sleep(p.Arrive)
			began := time.Now()
			ok := b.runProgram(p, began)
			b.programEnded(p, time.Since(began), ok)
		})
	}
	wg.Wait()
}

// runProgram runs a program's turns; ok is false if its caller gave up.
func (b *bench) runProgram(p Program, began time.Time) (ok bool) {
	n := b.nodes[xxhash.Sum64String(hgcall.Root(p.ID))%nodes]
	tokens := 0
	for i, t := range p.Turns {
		if !b.runTurn(n, p, i, tokens, began) {
			return false
		}
		tokens += t.NewTokens + t.OutputTokens
		if i == len(p.Turns)-1 {
			break
		}
		b.pause(n, p.ID, t, began)
	}
	b.endProgram(n, p.ID)
	return true
}

// pause waits for the tool call and the sub-agents after a turn.
func (b *bench) pause(n *node, id string, t Turn, began time.Time) {
	n.mu.Lock()
	orders := n.keeper.Paused(id, t.Tool, b.now())
	n.mu.Unlock()
	b.applyOrders(orders)
	var wg sync.WaitGroup
	for _, a := range t.SubAgents {
		wg.Go(func() { b.runProgram(a, began) })
	}
	time.Sleep(t.Pause)
	wg.Wait()
	n.mu.Lock()
	n.keeper.Resumed(id, b.now())
	n.mu.Unlock()
}

func (b *bench) endProgram(n *node, id string) {
	n.mu.Lock()
	orders := n.keeper.Ended(id)
	n.mu.Unlock()
	b.applyOrders(orders)
}

// applyOrders executes the keeper's orders to release prefixes, if the policy uses them.
func (b *bench) applyOrders(orders []hgretain.Order) {
	if !b.policy.Release {
		return
	}
	for _, o := range orders {
		if o.Action == hgretain.Release {
			b.engines[o.Endpoint].Release(o.Program)
		}
	}
}

// runTurn runs a model call. A refused one is retried after the delay in the refusal, a failed one after a second; ok is
// false once callerTimeout has passed since the start of the program.
func (b *bench) runTurn(n *node, p Program, i, tokens int, began time.Time) (ok bool) {
	start := time.Now()
	for time.Since(began) < callerTimeout {
		o, err := b.call(n, p, i, tokens)
		if err == nil {
			decoding := o.total - o.firstToken
			gap := decoding / time.Duration(max(p.Turns[i].OutputTokens-1, 1))
			b.update(func(res *Result) { res.addCall(time.Since(start)-decoding, gap) })
			return true
		}
		var r *hgcall.Refusal
		after := time.Second
		if errors.As(err, &r) {
			after = r.RetryAfter
			b.update(func(res *Result) { res.Refusals++ })
		}
		time.Sleep(after)
	}
	return false
}

// call dispatches a call, and dispatches it again after engine failures within the retry budget and maxDispatches.
func (b *bench) call(n *node, p Program, i, tokens int) (o outcome, err error) {
	t := p.Turns[i]
	exclude := ""
	root := hgcall.Root(p.ID)
	for attempt := 0; ; attempt++ {
		n.mu.Lock()
		home, held, _ := n.keeper.Home(p.ID)
		if attempt == 0 {
			n.retries.Called(b.now())
		}
		n.mu.Unlock()
		b.mu.Lock()
		served := b.servedTokens[root]
		b.mu.Unlock()
		g, err := n.sched.Acquire(context.Background(), hgsched.Request{
			Program: p.ID, Target: model, New: i == 0 && p.ID == root, Served: served, Home: home, HomeTokens: held,
			Tokens: tokens + t.NewTokens, Output: t.OutputTokens, Exclude: exclude, Remaining: callDeadline,
		})
		if err != nil {
			return o, err
		}
		b.update(func(res *Result) { res.Dispatches++ })
		o = b.engines[g.Endpoint].submit(p.ID, tokens+t.NewTokens, t.OutputTokens)
		if o.err == nil {
			b.callDone(n, p.ID, root, g, t, tokens, o)
			return o, nil
		}
		n.sched.Done(g, hgsched.Result{Failed: true, Refused: true})
		n.mu.Lock()
		n.keeper.EndpointLost(g.Endpoint)
		allowed := n.retries.Allow(b.now())
		n.mu.Unlock()
		if !allowed || attempt+1 == maxDispatches {
			return o, o.err
		}
		b.update(func(res *Result) { res.Retries++ })
		exclude = g.Endpoint
	}
}

// callDone reports a completed call to the node's scheduler and keeper, and counts it.
func (b *bench) callDone(n *node, id, root string, g hgsched.Grant, t Turn, tokens int, o outcome) {
	n.sched.Done(g, hgsched.Result{Timing: hgroute.Timing{FirstToken: o.firstToken, Total: o.total, Computed: o.prefilled, Output: t.OutputTokens}})
	n.mu.Lock()
	home, _, held := n.keeper.Home(id)
	orders := n.keeper.Ran(id, g.Endpoint, tokens+t.NewTokens+t.OutputTokens, b.now())
	n.mu.Unlock()
	b.applyOrders(orders)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servedTokens[root] += uint64(t.NewTokens + t.OutputTokens)
	b.result.Calls++
	if held && home != g.Endpoint {
		b.result.Moves++
	}
}

func (b *bench) update(fn func(res *Result)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fn(&b.result)
}

func (b *bench) programEnded(p Program, d time.Duration, ok bool) {
	b.update(func(res *Result) { res.addProgram(d, ok) })
}
