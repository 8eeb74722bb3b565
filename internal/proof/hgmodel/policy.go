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

// Policies maps the names that the experiment command accepts to constructors of policies.
var Policies = map[string]func(*Run) Policy{
	"roundRobin":    NewRoundRobin,
	"leastInFlight": NewLeastInFlight,
	"each":          NewPerNode,
	"eachFetching":  NewPerNodeFetching,
	"placer":        NewPlacer(Placer()),
	"placerStaying": NewPlacer(PlacerConfig{Name: "placer, no fetches", Window: hgplacer.Window, Rank: InProgressFirst, Admit: Placer().Admit}),
}

// Policy decides which engine runs a turn, and when.
type Policy interface {
	// Place starts a turn with Run.Start, now or later, or refuses it with Run.Refuse.
	Place(t *Turn)
	// FirstToken reports that an engine generated the first token of a turn.
	FirstToken(t *Turn, engine int)
	// Done reports the end of a turn on an engine; completed is false if the turn was cancelled.
	Done(t *Turn, engine int, completed bool)
	// Refused reports that an engine's queue was full.
	Refused(t *Turn, engine int)
	// Cancel reports that the turn's caller has stopped waiting.
	Cancel(t *Turn)
	// String returns the policy's name in results.
	String() string
}

// roundRobin sends each node's turns to the engines in turn.
type roundRobin struct {
	r    *Run
	next map[int]int
}

// NewRoundRobin returns the baseline that ignores the state of the engines.
func NewRoundRobin(r *Run) Policy { return &roundRobin{r: r, next: map[int]int{}} }

func (p *roundRobin) Place(t *Turn) {
	at, ok := p.next[t.Node]
	if !ok {
		at = t.Node
	}
	p.next[t.Node] = at + 1
	p.r.Start(t, at%len(p.r.engines), -1)
}
func (p *roundRobin) FirstToken(*Turn, int) {}
func (p *roundRobin) Done(*Turn, int, bool) {}
func (p *roundRobin) Refused(t *Turn, _ int) {
	p.r.Refuse(t)
}
func (p *roundRobin) Cancel(*Turn)   {}
func (p *roundRobin) String() string { return "round robin" }

// perNode uses the production replica selection independently on each node: a node knows its own requests in flight,
// learns of those of other nodes from heartbeats, and does not queue turns.
type perNode struct {
	r        *Run
	sets     []*hgreplica.Set
	leases   map[*Turn]*hgreplica.Lease
	attempts map[*Turn]int
	// locality takes the engines' cached tokens into account; fetch lets engines copy them from each other.
	locality, fetch bool
	name            string
	// reported holds the requests in flight that each node last reported to other failure domains.
	reported []map[string]int
}

const (
	// Nodes send a heartbeat within their failure domain every heartbeatPeriod, and to other failure domains every
	// remoteHeartbeatEvery of these periods. These are the values for a site of 62 nodes.
	heartbeatPeriod      = 512 * time.Millisecond
	remoteHeartbeatEvery = 3
	// remoteDomainCost is what an engine in another failure domain costs a turn, as in production.
	remoteDomainCost = 25 * time.Millisecond
	// maxEngineAttempts is the number of engines that a turn is sent to before it is refused.
	maxEngineAttempts = 4
)

// NewPerNode returns a policy in which each node selects engines by load and cached tokens.
func NewPerNode(r *Run) Policy { return newPerNode(r, true, "each node") }

// NewPerNodeFetching returns the policy of NewPerNode with engines that copy cached segments from each other.
func NewPerNodeFetching(r *Run) Policy {
	p := newPerNode(r, true, "each node, fetching")
	p.fetch = true
	return p
}

// NewLeastInFlight returns the baseline that selects engines by load only.
func NewLeastInFlight(r *Run) Policy { return newPerNode(r, false, "least in flight") }

func newPerNode(r *Run, locality bool, name string) *perNode {
	p := &perNode{r: r, leases: map[*Turn]*hgreplica.Lease{}, attempts: map[*Turn]int{}, locality: locality, name: name}
	for n := range r.workload.Nodes {
		p.sets = append(p.sets, newSet(r, n%r.workload.Domains))
	}
	p.reported = make([]map[string]int, len(p.sets))
	round := 0
	r.clock.Every(heartbeatPeriod, func(time.Duration) {
		p.gossip(round%remoteHeartbeatEvery == 0)
		round++
	})
	return p
}

// newSet returns the production replica set of a node in a failure domain, with all engines of the run.
func newSet(r *Run, domain int) *hgreplica.Set {
	client := &http.Client{}
	s := hgreplica.NewSet(r.clock, domainName(domain), func(time.Duration) *http.Client { return client })
	entries := map[string]hgreplica.Registration{}
	for e := range r.engines {
		id := strconv.Itoa(e)
		entries[id] = hgreplica.Registration{ID: id, Service: service, Address: id, Domain: domainName(e % r.workload.Domains), Slots: r.workload.Engine.Slots}
	}
	s.Apply(entries, 0)
	return s
}

// service is the one service that all engines belong to.
const service = "engines"

func domainName(d int) string { return "domain-" + strconv.Itoa(d) }

// gossip sets on each node the sum of the other nodes' requests in flight: the current ones for nodes of the same failure
// domain, for others those last reported. With includeRemote it refreshes the reported ones first.
func (p *perNode) gossip(includeRemote bool) {
	own := make([]map[string]int, len(p.sets))
	for n, s := range p.sets {
		own[n] = s.InFlight()
		if includeRemote || p.reported[n] == nil {
			p.reported[n] = own[n]
		}
	}
	for n, s := range p.sets {
		sum := map[string]int{}
		for m := range p.sets {
			from := own[m]
			if m%p.r.workload.Domains != n%p.r.workload.Domains {
				from = p.reported[m]
			}
			if m != n {
				for id, k := range from {
					sum[id] += k
				}
			}
		}
		s.SetPeerInFlight(sum)
	}
}

// newWant returns a turn as a request to the production replica selection; without locality it leaves out the prompt and
// the cached tokens.
func newWant(t *Turn, locality bool) hgreplica.Want {
	w := hgreplica.Want{Service: service, Exclude: map[string]bool{}, Prompt: tokens(t.Prompt), Far: remoteDomainCost, Kept: map[string]int{}}
	if !locality {
		w.Prompt = 0
		return w
	}
	for e, n := range t.Program.cachedOn(t.Prompt) {
		w.Kept[strconv.Itoa(e)] = n
	}
	return w
}

func (p *perNode) Place(t *Turn) {
	s := p.sets[t.Node]
	if t.First && !t.Program.served && hgplacer.IsFull(s.Load(service), t.priority()) {
		p.r.Refuse(t)
		return
	}
	p.attempt(t)
}

func (p *perNode) attempt(t *Turn) {
	p.attempts[t]++
	w := newWant(t, p.locality)
	if p.fetch {
		w.Fetch = hgreplica.FetchCost{Setup: p.r.workload.Engine.FetchSetup, PerToken: p.r.workload.Engine.FetchPerToken, Charge: fetchChargePerToken}
	}
	l, ok := p.sets[t.Node].Pick(w)
	if !ok || p.attempts[t] > maxEngineAttempts {
		delete(p.attempts, t)
		p.r.Refuse(t)
		return
	}
	p.leases[t] = l
	p.r.Start(t, engineIndex(l.ID), engineIndex(l.FetchFrom))
}

func (p *perNode) FirstToken(t *Turn, at int) {
	e := p.r.engines[at]
	p.leases[t].RecordAnswer(hgattempt.Answer{HasLoad: true, Running: len(e.running), Waiting: len(e.waiting), Slots: e.cfg.Slots}, 0)
}

func (p *perNode) Done(t *Turn, _ int, _ bool) {
	p.leases[t].Release()
	delete(p.leases, t)
	delete(p.attempts, t)
}

func (p *perNode) Refused(t *Turn, at int) {
	e := p.r.engines[at]
	p.leases[t].RecordAnswer(hgattempt.Answer{NotRun: true, HasLoad: true, Running: len(e.running), Waiting: len(e.waiting), Slots: e.cfg.Slots}, 0)
	p.leases[t].Release()
	p.attempt(t)
}

func (p *perNode) Cancel(t *Turn) { delete(p.attempts, t) }
func (p *perNode) String() string { return p.name }

// jitter returns a uniformly distributed duration between 0.5 and 1.5 times the mean.
func jitter(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + r.Float64()))
}

// engineIndex returns the index of the engine with a replica's identifier, or -1 if the identifier is empty.
func engineIndex(id string) int {
	n, err := strconv.Atoi(id)
	if err != nil {
		return -1
	}
	return n
}
