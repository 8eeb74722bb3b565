package hgmodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
)

// Run is the state of one simulation: a workload under a policy with a seed.
type Run struct {
	workload Workload
	clock    *Clock
	rand     *rand.Rand
	engines  []*engine
	policy   Policy
	programs []*Program
	segments int
	refused  int
}

// Result is the outcome of one simulation.
type Result struct {
	Policy, Workload string
	Rate             float64
	Seed             uint64
	// Worth is the earned share of the programs' total worth, and ByKind the same for each kind of programs.
	Worth  float64
	ByKind map[string]Share
	// Charged is the charge for fetched cache tokens, as a share of the same total.
	Charged float64
	// Prefilled and Fetched are the prompt tokens that engines computed, and that they copied from each other.
	Prefilled, Fetched int
	// Refused counts the turns that the policy refused to callers, Shed the requests that engines refused, and Preempted
	// those that engines put back for lack of memory.
	Refused, Shed, Preempted, Turns int
}

// Share counts the programs of a kind by outcome.
type Share struct {
	// InTime programs met their latency objective, Late ones took up to twice as long, and Failed ones took longer or never
	// ended.
	Programs, InTime, Late, Failed int
	// Worth is the earned share of the kind's worth.
	Worth float64
}

// Simulate runs a workload under a policy. The seed determines the arrivals and the programs.
func Simulate(w Workload, policy func(*Run) Policy, seed uint64) Result {
	r := &Run{workload: w, clock: &Clock{}, rand: rand.New(rand.NewPCG(seed, seed))}
	for id := range w.Engines {
		r.engines = append(r.engines, newEngine(id, w.Engine, r.clock))
	}
	r.policy = policy(r)
	for i := range w.Kinds {
		r.scheduleArrivals(i, seed)
	}
	r.clock.Run(w.Length + drainTime)
	return r.result(seed)
}

// drainTime is the time that programs have to end after the last arrivals.
const drainTime = 10 * time.Second

// scheduleArrivals schedules the programs of a kind until the end of the arrivals. The programs depend on the seed alone,
// so that all policies get the same ones.
func (r *Run) scheduleArrivals(kind int, seed uint64) {
	k := &r.workload.Kinds[kind]
	rnd := rand.New(rand.NewPCG(seed, uint64(kind)))
	at := time.Duration(0)
	for {
		at += time.Duration(rnd.ExpFloat64() / r.workload.rate(*k, at) * float64(time.Second))
		if at > r.workload.Length {
			return
		}
		c, domain := k.draw(rnd), rnd.IntN(r.workload.Domains)
		r.clock.At(at, func() { r.startProgram(k, c, domain) })
	}
}

func (r *Run) startProgram(k *Kind, c *chain, domain int) {
	idleTime := k.idleTime(r.workload.Engine, c, k.Shared)
	p := &Program{
		Kind: k, Began: r.clock.now, Domain: domain, idleTime: idleTime, cached: map[int]map[int]int{},
		Objective: time.Duration(float64(idleTime)*k.ObjectiveFactor) + k.ObjectiveMargin,
	}
	r.programs = append(r.programs, p)
	// All programs of a kind share one segment, with a negative ID.
	shared := Segment{ID: -1 - lo.IndexOf(lo.Map(r.workload.Kinds, func(k Kind, _ int) string { return k.Name }), k.Name), Tokens: k.Shared}
	r.runChain(p, c, 0, []Segment{shared}, func() { p.end = r.clock.now })
}

// newSegment returns the ID of a new segment for one chain of turns.
func (r *Run) newSegment() int {
	r.segments++
	return r.segments
}

// randomNode returns a random node of a failure domain.
func (r *Run) randomNode(domain int) int {
	return domain + r.workload.Domains*r.rand.IntN((r.workload.Nodes-domain+r.workload.Domains-1)/r.workload.Domains)
}

// Latencies outside the engines, taken from runs on the users' test bench.
const (
	// openMean is the mean time to open a turn at the VM that serves its program.
	openMean = 5 * time.Millisecond
	// persistMean is the mean time to write a retained turn to the store.
	persistMean = 13 * time.Millisecond
	// returnTime is the network time of a turn to the VM and back.
	returnTime = 2 * time.Millisecond
)

func (k *Kind) openTime(r *Run) time.Duration { return jitter(r.rand, openMean) }

func (k *Kind) persistTime(r *Run) time.Duration {
	if !k.Persisted {
		return returnTime
	}
	return returnTime + jitter(r.rand, persistMean)
}

// retryDelay returns the time until a caller's next attempt. Callers alternate between sending the turn anew, after 350 to
// 1,050 ms, and a quick retry after 100 to 400 ms.
func (r *Run) retryDelay(attemptsLeft int) time.Duration {
	if attemptsLeft%2 == 0 {
		return jitter(r.rand, 700*time.Millisecond)
	}
	return 100*time.Millisecond + time.Duration(r.rand.Int64N(int64(300*time.Millisecond)))
}

// chargePerFetchedToken is the worth that a fetched token is charged: 0.4 per GB, at 163,840 bytes per token.
const chargePerFetchedToken = 0.4 * 163840 / 1e9

// result sums up the run. A program is weighted by its time on idle engines: 0.3 plus 0.7 times its ratio to the mean of
// its kind, at most 4. In time it earns its kind's Worth, within twice the objective its LateWorth, later nothing.
func (r *Run) result(seed uint64) Result {
	res := Result{Policy: r.policy.String(), Workload: r.workload.Name, Rate: r.workload.Rate, Seed: seed, Refused: r.refused, ByKind: map[string]Share{}}
	for _, e := range r.engines {
		res.Prefilled += e.prefilled
		res.Fetched += e.fetched
		res.Shed += e.refusals
		res.Preempted += e.preempted
	}
	earned, owed := 0.0, 0.0
	for name, programs := range lo.GroupBy(r.programs, func(p *Program) string { return p.Kind.Name }) {
		mean := lo.SumBy(programs, func(p *Program) float64 { return p.idleTime.Seconds() }) / float64(len(programs))
		var s Share
		kindEarned, kindOwed := 0.0, 0.0
		for _, p := range programs {
			size := math.Min(0.3+0.7*p.idleTime.Seconds()/mean, 4)
			s.Programs++
			kindOwed += size * p.Kind.Worth
			switch took := p.end - p.Began; {
			case p.end == 0 || p.failed || took > 2*p.Objective:
				s.Failed++
			case took > p.Objective:
				s.Late++
				kindEarned += size * p.Kind.LateWorth
			default:
				s.InTime++
				kindEarned += size * p.Kind.Worth
			}
		}
		s.Worth = kindEarned / kindOwed
		res.ByKind[name] = s
		earned, owed = earned+kindEarned, owed+kindOwed
	}
	res.Worth = earned / owed
	res.Charged = float64(res.Fetched) * chargePerFetchedToken / owed
	return res
}

// stdDev returns the population standard deviation of values.
func stdDev(values []float64) float64 {
	mean := lo.Mean(values)
	return math.Sqrt(lo.Mean(lo.Map(values, func(v float64, _ int) float64 { return (v - mean) * (v - mean) })))
}
