package hgmodel

import (
	"strconv"
	"time"

	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
)

// PlacerConfig configures a placer policy.
type PlacerConfig struct {
	// Name is the policy's name in results.
	Name string
	// Window is the largest number of requests on an engine, as a multiple of its slots.
	Window float64
	// Fetch lets engines copy cached segments from each other.
	Fetch bool
	// Charge is the cost of a fetched token in addition to the time of the copy, expressed as a time.
	Charge time.Duration
	// Rank orders the turns in the placer's queue.
	Rank func(t *Turn, now time.Duration) hgplacer.Rank
	// Admit decides whether a new program may start at a load, in requests per slot; nil admits all.
	Admit func(t *Turn, load float64) bool
}

// Placer returns the configuration of the production placer.
func Placer() PlacerConfig {
	return PlacerConfig{
		Name: "placer", Window: hgplacer.Window, Fetch: true, Charge: fetchChargePerToken, Rank: InProgressFirst,
		Admit: func(t *Turn, load float64) bool { return !hgplacer.IsFull(load, t.priority()) },
	}
}

// fetchChargePerToken is the production charge for a fetched token, see PlacerConfig.Charge.
const fetchChargePerToken = 50 * time.Microsecond

// placerPolicy places all turns of a failure domain through one placer, with the production queue and replica set.
type placerPolicy struct {
	r         *Run
	cfg       PlacerConfig
	domains   []*placerDomain
	turns     int
	leases    map[*Turn]*hgreplica.Lease
	queuedIDs map[*Turn]string
}

type placerDomain struct {
	set    *hgreplica.Set
	queue  *hgplacer.Queue
	queued map[string]*Turn
}

const (
	// placerRoundTrip is the network round trip between a node and the placer.
	placerRoundTrip = 1500 * time.Microsecond
	// placerHeartbeatPeriod is the time between two load reports from a placer to those of the other failure domains.
	placerHeartbeatPeriod = 300 * time.Millisecond
)

// NewPlacer returns a policy in which one node of each failure domain places all turns that enter there.
func NewPlacer(cfg PlacerConfig) func(r *Run) Policy {
	return func(r *Run) Policy {
		p := &placerPolicy{r: r, cfg: cfg, leases: map[*Turn]*hgreplica.Lease{}, queuedIDs: map[*Turn]string{}}
		for d := range r.workload.Domains {
			p.domains = append(p.domains, &placerDomain{set: newSet(r, d), queue: hgplacer.NewQueue(), queued: map[string]*Turn{}})
		}
		r.clock.Every(placerHeartbeatPeriod, func(time.Duration) { p.gossip() })
		return p
	}
}

// gossip tells each placer the requests in flight of the other failure domains, and grants what that leaves room for.
func (p *placerPolicy) gossip() {
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
		to.set.SetPeerInFlight(sum)
		p.grant(to)
	}
}

func (p *placerPolicy) Place(t *Turn) {
	d := p.domains[t.Domain]
	if !t.Program.served && t.First && p.cfg.Admit != nil && !p.cfg.Admit(t, d.set.Load(service)) {
		p.r.Refuse(t)
		return
	}
	p.turns++
	id := strconv.Itoa(p.turns)
	w := newWant(t, true)
	w.Window = p.cfg.Window
	if p.cfg.Fetch {
		w.Fetch = hgreplica.FetchCost{Setup: p.r.workload.Engine.FetchSetup, PerToken: p.r.workload.Engine.FetchPerToken, Charge: p.cfg.Charge}
	}
	now := p.r.clock.now
	rank := p.cfg.Rank(t, now)
	rank.Arrived = now
	d.queued[id], p.queuedIDs[t] = t, id
	d.queue.Push(hgplacer.Request{ID: id, Want: w, Rank: rank})
	p.grant(d)
}

// grant starts the queued turns for which an engine has room.
func (p *placerPolicy) grant(d *placerDomain) {
	for {
		q, l, ok := d.queue.Next(d.set.Pick)
		if !ok {
			return
		}
		t := d.queued[q.ID]
		delete(d.queued, q.ID)
		delete(p.queuedIDs, t)
		p.leases[t] = l
		p.r.clock.At(p.r.clock.now+placerRoundTrip, func() { p.r.Start(t, engineIndex(l.ID), engineIndex(l.FetchFrom)) })
	}
}

func (p *placerPolicy) FirstToken(t *Turn, _ int) { p.leases[t].RecordAnswer(hgattempt.Answer{}, 0) }

func (p *placerPolicy) Done(t *Turn, _ int, _ bool) {
	l := p.leases[t]
	delete(p.leases, t)
	p.r.clock.At(p.r.clock.now+placerRoundTrip/2, func() {
		l.Release()
		p.grant(p.domains[t.Domain])
	})
}

func (p *placerPolicy) Refused(t *Turn, at int) {
	p.Done(t, at, false)
	p.Place(t)
}

func (p *placerPolicy) Cancel(t *Turn) {
	id, ok := p.queuedIDs[t]
	if !ok {
		return
	}
	d := p.domains[t.Domain]
	d.queue.Remove(id)
	delete(d.queued, id)
	delete(p.queuedIDs, t)
}

func (p *placerPolicy) String() string { return p.cfg.Name }

// InProgressFirst ranks turns like the production placer: programs in progress before new ones.
func InProgressFirst(t *Turn, now time.Duration) hgplacer.Rank {
	return hgplacer.Rank{New: t.First, Late: t.Program.Remaining(now) < 0, Priority: t.priority()}
}

// priority returns the priority of the turn's kind; 0 is the most urgent.
func (t *Turn) priority() int {
	if t.Program.Kind.Urgent {
		return 0
	}
	return 1
}
