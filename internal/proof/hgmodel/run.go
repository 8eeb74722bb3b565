package hgmodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
)

// Run is one experiment: a workload under a policy with a seed.
type Run struct {
	load     Workload
	clock    *Clock
	rand     *rand.Rand
	engines  []*engine
	policy   Policy
	programs []*Program
	parts    int
	refused  int
}

// Result is what callers got.
type Result struct {
	Policy, Workload string
	Rate             float64
	Seed             uint64
	// Worth is the share of what the programs were worth that they earned, and ByKind that of each kind.
	Worth  float64
	ByKind map[string]Share
	// Charged is what moved memory costs of it.
	Charged float64
	// Read and Moved are the prompt tokens that engines read and that they fetched from each other.
	Read, Moved int
	// Refused counts turns given back by the system, and Shed those that engines refused.
	Refused, Shed, Preempted, Turns int
}

// Share counts the programs of a kind by their end.
type Share struct {
	Programs, InTime, Late, Failed int
	Worth                          float64
}

// Play runs a workload under a policy.
func Play(w Workload, policy func(*Run) Policy, seed uint64) Result {
	r := &Run{load: w, clock: &Clock{}, rand: rand.New(rand.NewPCG(seed, seed))}
	for id := range w.Engines {
		r.engines = append(r.engines, newEngine(id, w.Engine, r.clock))
	}
	r.policy = policy(r)
	for i := range w.Kinds {
		r.arrive(i, seed)
	}
	r.clock.Run(w.Length + finishTime)
	return r.result(seed)
}

// finishTime is how long programs may go on after the last arrivals.
const finishTime = 10 * time.Second

// arrive lets programs of a kind begin until the end of the traffic. The programs follow from the seed alone, so that all
// policies get the same ones.
func (r *Run) arrive(kind int, seed uint64) {
	k := &r.load.Kinds[kind]
	draws := rand.New(rand.NewPCG(seed, uint64(kind)))
	at := time.Duration(0)
	for {
		at += time.Duration(draws.ExpFloat64() / r.load.rate(*k, at) * float64(time.Second))
		if at > r.load.Length {
			return
		}
		l, domain := k.draw(draws), draws.IntN(r.load.Domains)
		r.clock.At(at, func() { r.begin(k, l, domain) })
	}
}

func (r *Run) begin(k *Kind, l *line, domain int) {
	idle := k.idle(r.load.Engine, l, k.Shared)
	p := &Program{
		Kind: k, Began: r.clock.now, Domain: domain, idle: idle, kept: map[int]map[int]int{},
		Aim: time.Duration(float64(idle)*k.AimFactor) + k.AimPlus,
	}
	r.programs = append(r.programs, p)
	// Each kind has a shared part of its own; parts with negative numbers are shared.
	shared := Part{ID: -1 - lo.IndexOf(lo.Map(r.load.Kinds, func(k Kind, _ int) string { return k.Name }), k.Name), Tokens: k.Shared}
	r.play(p, l, 0, []Part{shared}, func() { p.end = r.clock.now })
}

func (r *Run) newPart() int {
	r.parts++
	return r.parts
}

// node returns a random node of a failure domain.
func (r *Run) node(domain int) int {
	return domain + r.load.Domains*r.rand.IntN((r.load.Nodes-domain+r.load.Domains-1)/r.load.Domains)
}

// Times of the way, from runs on the users' bench: the opening of a turn at the VM that serves its program, and the
// write of a kept turn. A turn's way to the VM and back takes 2 ms more.
const (
	openMean = 5 * time.Millisecond
	keepMean = 13 * time.Millisecond
	backTime = 2 * time.Millisecond
)

func (k *Kind) openTime(r *Run) time.Duration { return jitter(r.rand, openMean) }

func (k *Kind) keepTime(r *Run) time.Duration {
	if !k.Kept {
		return backTime
	}
	return backTime + jitter(r.rand, keepMean)
}

// comeBack is the time after which a caller asks again: one retry soon, then the turn anew.
func (r *Run) comeBack(left int) time.Duration {
	if left%2 == 0 {
		return jitter(r.rand, 700*time.Millisecond)
	}
	return 100*time.Millisecond + time.Duration(r.rand.Int64N(int64(300*time.Millisecond)))
}

// movedWorth is the worth that a moved token is charged: 0.4 a GB for 163,840 bytes.
const movedWorth = 0.4 * 163840 / 1e9

func (r *Run) result(seed uint64) Result {
	res := Result{Policy: r.policy.String(), Workload: r.load.Name, Rate: r.load.Rate, Seed: seed, Refused: r.refused, ByKind: map[string]Share{}}
	for _, e := range r.engines {
		res.Read += e.read
		res.Moved += e.moved
		res.Shed += e.refusals
		res.Preempted += e.preempted
	}
	earned, owed := 0.0, 0.0
	for name, programs := range lo.GroupBy(r.programs, func(p *Program) string { return p.Kind.Name }) {
		mean := lo.SumBy(programs, func(p *Program) float64 { return p.idle.Seconds() }) / float64(len(programs))
		var s Share
		kindEarned, kindOwed := 0.0, 0.0
		for _, p := range programs {
			size := math.Min(0.3+0.7*p.idle.Seconds()/mean, 4)
			s.Programs++
			kindOwed += size * p.Kind.Worth
			switch took := p.end - p.Began; {
			case p.end == 0 || p.failed || took > 2*p.Aim:
				s.Failed++
			case took > p.Aim:
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
	res.Charged = float64(res.Moved) * movedWorth / owed
	return res
}

// spread returns the standard deviation of some values.
func spread(values []float64) float64 {
	mean := lo.Mean(values)
	return math.Sqrt(lo.Mean(lo.Map(values, func(v float64, _ int) float64 { return (v - mean) * (v - mean) })))
}
