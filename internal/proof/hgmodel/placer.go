package hgmodel

import (
	"strconv"
	"time"

	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
)

// PlacerConfig varies the placer.
type PlacerConfig struct {
	Name string
	// Window bounds the requests on an engine, as a multiple of its slots.
	Window float64
	// Fetch lets engines fetch what others keep.
	Fetch bool
	// Charge is what a moved token counts.
	Charge time.Duration
	// Rank orders turns that wait.
	Rank func(t *Turn, now time.Duration) hgplacer.Rank
	// Admit says whether a new program may begin at a load.
	Admit func(t *Turn, load float64) bool
}

// Placer is the placer with the figures of the product.
func Placer() PlacerConfig {
	return PlacerConfig{
		Name: "placer", Window: hgplacer.Window, Fetch: true, Charge: productCharge, Rank: UnderWayFirst,
		Admit: func(t *Turn, load float64) bool { return !hgplacer.IsFull(load, t.priority()) },
	}
}

// productCharge is what a moved token counts in the product.
const productCharge = 50 * time.Microsecond

// placers is the product's placer of each failure domain.
type placers struct {
	r       *Run
	cfg     PlacerConfig
	domains []*placerDomain
	turns   int
	leases  map[*Turn]*hgreplica.Lease
	ids     map[*Turn]string
}

type placerDomain struct {
	set   *hgreplica.Set
	queue *hgplacer.Queue
	byID  map[string]*Turn
}

const (
	// askTime is the way of a question to the placer and back.
	askTime = 1500 * time.Microsecond
	// placerPeriod is the time between two heartbeats of placers.
	placerPeriod = 300 * time.Millisecond
)

// NewPlacer returns a policy that leaves places to one node of each failure domain.
func NewPlacer(cfg PlacerConfig) func(r *Run) Policy {
	return func(r *Run) Policy {
		p := &placers{r: r, cfg: cfg, leases: map[*Turn]*hgreplica.Lease{}, ids: map[*Turn]string{}}
		for d := range r.load.Domains {
			p.domains = append(p.domains, &placerDomain{set: newSet(r, d), queue: hgplacer.NewQueue(), byID: map[string]*Turn{}})
		}
		r.clock.Every(placerPeriod, func(time.Duration) { p.gossip() })
		return p
	}
}

func (p *placers) gossip() {
	for d, to := range p.domains {
		sum := map[string]int{}
		for e, from := range p.domains {
			if e == d {
				continue
			}
			for id, n := range from.set.InFlight() {
				sum[id] += n
			}
		}
		to.set.SetGossip(sum)
		p.grant(to)
	}
}

func (p *placers) Place(t *Turn) {
	d := p.domains[t.Domain]
	if !t.Program.served && t.First && p.cfg.Admit != nil && !p.cfg.Admit(t, d.set.Load(service)) {
		p.r.Refuse(t)
		return
	}
	p.turns++
	id := strconv.Itoa(p.turns)
	w := want(t, true)
	w.Window = p.cfg.Window
	if p.cfg.Fetch {
		w.Fetch = hgreplica.Fetch{Setup: p.r.load.Engine.FetchSetup, PerToken: p.r.load.Engine.FetchPerToken, Charge: p.cfg.Charge}
	}
	now := p.r.clock.now
	rank := p.cfg.Rank(t, now)
	rank.Arrived = now
	d.byID[id], p.ids[t] = t, id
	d.queue.Push(hgplacer.Request{ID: id, Want: w, Rank: rank})
	p.grant(d)
}

func (p *placers) grant(d *placerDomain) {
	for {
		q, l, ok := d.queue.Next(d.set.Pick)
		if !ok {
			return
		}
		t := d.byID[q.ID]
		delete(d.byID, q.ID)
		delete(p.ids, t)
		p.leases[t] = l
		p.r.clock.At(p.r.clock.now+askTime, func() { p.r.Start(t, number(l.ID), number(l.FetchFrom)) })
	}
}

func (p *placers) First(t *Turn, _ int) { p.leases[t].Answered(hgattempt.Answer{}, 0) }

func (p *placers) Done(t *Turn, _ int, _ bool) {
	l := p.leases[t]
	delete(p.leases, t)
	p.r.clock.At(p.r.clock.now+askTime/2, func() {
		l.Release()
		p.grant(p.domains[t.Domain])
	})
}

func (p *placers) Refused(t *Turn, at int) {
	p.Done(t, at, false)
	p.Place(t)
}

func (p *placers) Leave(t *Turn) {
	id, ok := p.ids[t]
	if !ok {
		return
	}
	d := p.domains[t.Domain]
	d.queue.Remove(id)
	delete(d.byID, id)
	delete(p.ids, t)
}

func (p *placers) String() string { return p.cfg.Name }

// UnderWayFirst ranks turns as the product does.
func UnderWayFirst(t *Turn, now time.Duration) hgplacer.Rank {
	return hgplacer.Rank{New: t.First, Late: t.Program.Left(now) < 0, Priority: t.priority()}
}

// priority is the rank of the turn's kind; 0 goes first.
func (t *Turn) priority() int {
	if t.Program.Kind.Urgent {
		return 0
	}
	return 1
}
