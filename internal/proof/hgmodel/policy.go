package hgmodel

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
)

// Policies are the policies by name.
var Policies = map[string]func(*Run) Policy{
	"roundRobin":    NewRoundRobin,
	"leastInFlight": NewLeastInFlight,
	"each":          NewEach,
	"eachFetching":  NewEachFetching,
	"placer":        NewPlacer(Placer()),
	"placerStaying": NewPlacer(PlacerConfig{Name: "placer, no fetches", Window: hgplacer.Window, Rank: UnderWayFirst, Admit: Placer().Admit}),
}

// Policy places turns.
type Policy interface {
	// Place starts a turn now or later, or refuses it.
	Place(t *Turn)
	// First, Done and Refused tell of a turn's first token, its end, and that the engine did not take it.
	First(t *Turn, engine int)
	Done(t *Turn, engine int, whole bool)
	Refused(t *Turn, engine int)
	// Leave tells that a turn's caller does not wait any more.
	Leave(t *Turn)
	String() string
}

// roundRobin gives each node's turns to one engine after the other.
type roundRobin struct {
	r    *Run
	next map[int]int
}

// NewRoundRobin returns the baseline that knows nothing of the engines.
func NewRoundRobin(r *Run) Policy { return &roundRobin{r: r, next: map[int]int{}} }

func (p *roundRobin) Place(t *Turn) {
	at, ok := p.next[t.Node]
	if !ok {
		at = t.Node
	}
	p.next[t.Node] = at + 1
	p.r.Start(t, at%len(p.r.engines), -1)
}
func (p *roundRobin) First(*Turn, int)      {}
func (p *roundRobin) Done(*Turn, int, bool) {}
func (p *roundRobin) Refused(t *Turn, _ int) {
	p.r.Refuse(t)
}
func (p *roundRobin) Leave(*Turn)    {}
func (p *roundRobin) String() string { return "round robin" }

// each is the product's choice at each node for itself: nodes know their own requests, hear late of those of others,
// and do not wait.
type each struct {
	r      *Run
	sets   []*hgreplica.Set
	leases map[*Turn]*hgreplica.Lease
	tried  map[*Turn]int
	// locality says that what engines keep counts, and fetches that they fetch it from each other.
	locality, fetches bool
	name              string
	// far holds what nodes of other domains have told last.
	told []map[string]int
}

const (
	// nearPeriod and farPeriods are the heartbeats of 62 nodes: a period within a failure domain, three to others.
	nearPeriod = 512 * time.Millisecond
	farPeriods = 3
	// modelFar is what another failure domain costs a turn, as in the product.
	modelFar = 25 * time.Millisecond
	// mostTries is the number of engines that one request is offered to.
	mostTries = 4
)

// NewEach returns the choice of each node for itself.
func NewEach(r *Run) Policy { return newEach(r, true, "each node") }

// NewEachFetching is the same with kept parts fetched between engines.
func NewEachFetching(r *Run) Policy {
	p := newEach(r, true, "each node, fetching")
	p.fetches = true
	return p
}

// NewLeastInFlight returns the baseline that knows of loads only.
func NewLeastInFlight(r *Run) Policy { return newEach(r, false, "least in flight") }

func newEach(r *Run, locality bool, name string) *each {
	p := &each{r: r, leases: map[*Turn]*hgreplica.Lease{}, tried: map[*Turn]int{}, locality: locality, name: name}
	for n := range r.load.Nodes {
		p.sets = append(p.sets, newSet(r, n%r.load.Domains))
	}
	p.told = make([]map[string]int, len(p.sets))
	round := 0
	r.clock.Every(nearPeriod, func(time.Duration) {
		p.gossip(round%farPeriods == 0)
		round++
	})
	return p
}

func newSet(r *Run, domain int) *hgreplica.Set {
	client := &http.Client{}
	s := hgreplica.NewSet(r.clock, domainName(domain), func(time.Duration) *http.Client { return client })
	entries := map[string]hgreplica.Entry{}
	for e := range r.engines {
		id := strconv.Itoa(e)
		entries[id] = hgreplica.Entry{ID: id, Service: service, Address: id, Domain: domainName(e % r.load.Domains), Slots: r.load.Engine.Slots}
	}
	s.Apply(entries, 0)
	return s
}

const service = "engines"

func domainName(d int) string { return "domain-" + strconv.Itoa(d) }

func (p *each) gossip(far bool) {
	own := make([]map[string]int, len(p.sets))
	for n, s := range p.sets {
		own[n] = s.InFlight()
		if far || p.told[n] == nil {
			p.told[n] = own[n]
		}
	}
	for n, s := range p.sets {
		sum := map[string]int{}
		for m := range p.sets {
			from := own[m]
			if m%p.r.load.Domains != n%p.r.load.Domains {
				from = p.told[m]
			}
			if m != n {
				for id, k := range from {
					sum[id] += k
				}
			}
		}
		s.SetGossip(sum)
	}
}

// want describes a turn to the product's choice.
func want(t *Turn, locality bool) hgreplica.Want {
	w := hgreplica.Want{Service: service, Exclude: map[string]bool{}, Prompt: tokens(t.Prompt), Far: modelFar, Kept: map[string]int{}}
	if !locality {
		w.Prompt = 0
		return w
	}
	for e, n := range t.Program.keptOn(t.Prompt) {
		w.Kept[strconv.Itoa(e)] = n
	}
	return w
}

func (p *each) Place(t *Turn) {
	s := p.sets[t.Node]
	if t.First && !t.Program.served && hgplacer.IsFull(s.Load(service), t.priority()) {
		p.r.Refuse(t)
		return
	}
	p.try(t)
}

func (p *each) try(t *Turn) {
	p.tried[t]++
	w := want(t, p.locality)
	if p.fetches {
		w.Fetch = hgreplica.Fetch{Setup: p.r.load.Engine.FetchSetup, PerToken: p.r.load.Engine.FetchPerToken, Charge: productCharge}
	}
	l, ok := p.sets[t.Node].Pick(w)
	if !ok || p.tried[t] > mostTries {
		delete(p.tried, t)
		p.r.Refuse(t)
		return
	}
	p.leases[t] = l
	p.r.Start(t, number(l.ID), number(l.FetchFrom))
}

func (p *each) First(t *Turn, at int) {
	e := p.r.engines[at]
	p.leases[t].Answered(hgattempt.Answer{HasLoad: true, Running: len(e.running), Waiting: len(e.waiting), Slots: e.cfg.Slots}, 0)
}

func (p *each) Done(t *Turn, _ int, _ bool) {
	p.leases[t].Release()
	delete(p.leases, t)
	delete(p.tried, t)
}

func (p *each) Refused(t *Turn, at int) {
	e := p.r.engines[at]
	p.leases[t].Answered(hgattempt.Answer{NotRun: true, HasLoad: true, Running: len(e.running), Waiting: len(e.waiting), Slots: e.cfg.Slots}, 0)
	p.leases[t].Release()
	p.try(t)
}

func (p *each) Leave(t *Turn)  { delete(p.tried, t) }
func (p *each) String() string { return p.name }

// jitter spreads a time around its mean.
func jitter(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + r.Float64()))
}

// number returns the engine of an identifier, which is its address as well; -1 for none.
func number(id string) int {
	n, err := strconv.Atoi(id)
	if err != nil {
		return -1
	}
	return n
}
