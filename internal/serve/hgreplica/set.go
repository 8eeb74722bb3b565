package hgreplica

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgtimer"
)

// Entry is a replica's registration.
type Entry struct {
	ID      string
	Service string
	// Address is the IP address and port.
	Address string
	// Domain is the failure domain.
	Domain string
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving says that the replica takes no new requests.
	Leaving bool
	// ColdLeft is how much longer the replica is slow after its start.
	ColdLeft time.Duration
	// Born names the start of the replica; another one means that it holds and knows nothing of before.
	Born string
}

type replica struct {
	Entry
	client *http.Client
	// idle is how long the client keeps unused connections.
	idle time.Duration
	// lapsed is when a missing registration counts as gone; 0 while it is there.
	lapsed   time.Duration
	inFlight int
	// others is the number of requests of other nodes, as of othersAt.
	others   int
	othersAt time.Duration
	// gossip is the number of requests that the peers say they run there.
	gossip   int
	delay    float64
	delayAt  time.Duration
	failures float64
	failedAt time.Duration
	// streak is the number of failures since the last answer.
	streak int
	// saidLeaving says that the replica itself has told that it leaves.
	saidLeaving bool
	// misdirected says that another replica has the address.
	misdirected bool
}

// Set holds the replicas of all services; it is safe for concurrent use.
type Set struct {
	timer     hgtimer.Timer
	domain    string
	newClient func(idle time.Duration) *http.Client

	mu       sync.Mutex
	replicas map[string]*replica
	// byService holds the same replicas by service.
	byService map[string][]*replica
	// left holds the runs of replicas that have told that they leave, with the time of that.
	left map[Lifetime]time.Duration
	// onEnd is called for each replica that has ended without having said that it leaves.
	onEnd func(id string)
	// holds is how long requests of each service held a slot lately, in nanoseconds.
	holds map[string]float64
}

// NewSet returns an empty set for a node in a failure domain; newClient makes the client of each replica.
func NewSet(timer hgtimer.Timer, domain string, newClient func(idle time.Duration) *http.Client) *Set {
	return &Set{timer: timer, domain: domain, newClient: newClient, replicas: map[string]*replica{}, left: map[Lifetime]time.Duration{}, holds: map[string]float64{}}
}

// OnEnd sets what is called for each replica that has ended, or started again, without having said that it leaves. It is
// to be called before the first registrations.
func (s *Set) OnEnd(fn func(id string)) { s.onEnd = fn }

// Apply replaces the registrations. After an outage of the store missing ones stay for the time that is left to come back.
func (s *Set) Apply(entries map[string]Entry, lapse time.Duration) {
	for _, id := range s.replace(entries, lapse) {
		if s.onEnd != nil {
			s.onEnd(id)
		}
	}
}

// replace takes over the registrations and returns the replicas that have ended without having said that they leave.
func (s *Set) replace(entries map[string]Entry, lapse time.Duration) (ended []string) {
	now := s.timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range entries {
		if s.apply(id, e) {
			ended = append(ended, id)
		}
	}
	for id, r := range s.replicas {
		if _, ok := entries[id]; ok {
			continue
		}
		if lapse > 0 && r.lapsed == 0 {
			r.lapsed = now + lapse
		}
		if lapse == 0 && (r.lapsed == 0 || now >= r.lapsed) {
			r.client.CloseIdleConnections()
			delete(s.replicas, id)
			if !r.leaves() {
				ended = append(ended, id)
			}
		}
	}
	s.byService = lo.GroupBy(lo.Values(s.replicas), func(r *replica) string { return r.Service })
	return ended
}

// apply takes over a registration and says whether the replica has started again without having said that it leaves.
func (s *Set) apply(id string, e Entry) (again bool) {
	r, ok := s.replicas[id]
	if !ok || r.Born != e.Born || r.Address != e.Address || r.Service != e.Service {
		if ok {
			r.client.CloseIdleConnections()
		}
		s.replicas[id] = &replica{Entry: e, client: s.newClient(defaultIdle), idle: defaultIdle, saidLeaving: s.hasLeft(e)}
		return ok && !r.leaves()
	}
	r.Entry = e
	r.lapsed = 0
	return false
}

const (
	// defaultIdle is how long connections are kept until the replica has said how long it keeps them.
	defaultIdle = 4 * time.Second
	// idleMargin is the time by which a connection is given up before the replica closes it.
	idleMargin = 1500 * time.Millisecond
	// minIdle is the least time that a connection is kept.
	minIdle = 500 * time.Millisecond
)

// keepIdle takes over how long the replica keeps connections; those that are open end by the old time. s.mu is held.
func (s *Set) keepIdle(r *replica, keeps time.Duration) {
	idle := max(keeps-idleMargin, minIdle)
	if idle == r.idle {
		return
	}
	r.idle, r.client = idle, s.newClient(idle)
}

// Want describes a request to a choice.
type Want struct {
	Service string
	// Exclude names the replicas that are out of question.
	Exclude map[string]bool
	// Prompt is the length of the prompt in tokens, and Kept how many of them a replica need not read again.
	Prompt int
	Kept   map[string]int
	// Far is what it costs to use another failure domain.
	Far time.Duration
	// Fetch says what it takes to fetch kept parts of the prompt from another replica.
	Fetch Fetch
	// Window bounds the requests on a replica, as a multiple of its slots; 0 is no bound.
	Window float64
}

// Why is what decided for a replica: the tokens to read and to fetch, the requests in flight of this node and of all, the
// age of the replica's report of its load, the expected loss, and the number of replicas it was chosen from.
type Why struct {
	Miss, Fetch, Own, All int
	ReportAge             time.Duration
	Cost                  time.Duration
	Of                    int
}

// Pick chooses the replica on which the request loses the least time; ok is false if none is left.
func (s *Set) Pick(w Want) (l *Lease, ok bool) {
	now := s.timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	usual := s.usual(w.Service)
	sources := s.sources(w, now)
	var best *replica
	var why Why
	var from *replica
	of := 0
	least := time.Duration(math.MaxInt64)
	for _, r := range s.byService[w.Service] {
		if !r.isUsable(w, now) {
			continue
		}
		v := r.view(now, usual)
		if w.Window > 0 && float64(v.inFlight) >= w.Window*float64(v.slots) {
			continue
		}
		v.hold = max(time.Duration(s.holds[w.Service]), minHold)
		if r.Domain != s.domain {
			v.far = w.Far
		}
		source := sources.apply(&v, w, r.ID)
		// A small random part spreads choices that nodes make at the same time on the same reports.
		if c := v.cost() + time.Duration(rand.Int64N(int64(2*time.Millisecond))); c < least {
			best, from, least = r, source, c
			why = Why{Miss: v.miss, Fetch: v.fetch, Own: r.inFlight, All: v.inFlight, ReportAge: now - r.othersAt, Cost: c}
		}
		of++
	}
	if best == nil {
		return nil, false
	}
	best.inFlight++
	why.Of = of
	l = &Lease{ID: best.ID, Address: best.Address, Client: best.client, Why: why, set: s, replica: best}
	if from != nil {
		l.FetchFrom = from.Address
	}
	return l, true
}

// isUsable says whether a replica may get a request.
func (r *replica) isUsable(w Want, now time.Duration) bool {
	return r.Service == w.Service && !w.Exclude[r.ID] && r.out(now) == ""
}

func (s *Set) usual(service string) time.Duration {
	least := math.MaxFloat64
	for _, r := range s.byService[service] {
		if !r.leaves() && r.delay > 0 {
			least = min(least, r.delay)
		}
	}
	if least == math.MaxFloat64 {
		return 0
	}
	return time.Duration(least)
}

// elsewhere returns the number of requests of other nodes, by the replica's own report while it is fresh.
func (r *replica) elsewhere(now time.Duration) int {
	if now-r.othersAt < loadFor {
		return max(r.others, r.gossip)
	}
	return r.gossip
}

func (r *replica) view(now, usual time.Duration) view {
	delay := time.Duration(r.delay)
	if excess := r.delay - float64(usual); excess > 0 {
		delay = usual + time.Duration(excess*halved(now-r.delayAt, slowHalfLife))
	}
	return view{
		slots: r.Slots, inFlight: r.inFlight + r.elsewhere(now), delay: delay, usual: usual,
		failures: r.recentFailures(now), coldLeft: r.ColdLeft,
	}
}

// recentFailures returns the failures with their weight at a time.
func (r *replica) recentFailures(now time.Duration) float64 {
	if r.failures == 0 {
		return 0
	}
	return r.failures * halved(now-r.failedAt, failureHalfLife*time.Duration(min(max(r.streak, 1), maxStreak)))
}

// failed counts failures.
func (r *replica) failed(now time.Duration, n float64) {
	r.failures = r.recentFailures(now) + n
	r.failedAt = now
}

// errored counts an answer that the replica failed a request. A single one may be the request's own fault; from the second
// one without an answer between them on they count, as a replica that fails at once looks idle and draws requests.
func (r *replica) errored(now time.Duration) {
	r.streak++
	switch {
	case r.streak == errorStreak:
		r.failed(now, errorStreak)
	case r.streak > errorStreak:
		r.failed(now, 1)
	}
}

// halved returns what is left of something after a time in which it halves again and again.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// observeHold takes how long a request held a slot after its first byte; s.mu is held.
func (s *Set) observeHold(service string, held time.Duration) {
	s.holds[service] += observedWeight * (float64(held) - s.holds[service])
}

// InFlight returns the number of this node's requests on each replica that runs one.
func (s *Set) InFlight() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := map[string]int{}
	for id, r := range s.replicas {
		if r.inFlight > 0 {
			n[id] = r.inFlight
		}
	}
	return n
}

// SetGossip replaces the number of requests that the peers run on each replica.
func (s *Set) SetGossip(n map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.replicas {
		r.gossip = n[id]
	}
}

// HasAny says whether a replica may get a request, now or when it has room.
func (s *Set) HasAny(w Want) bool {
	now := s.timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.byService[w.Service] {
		if r.isUsable(w, now) {
			return true
		}
	}
	return false
}

// Load returns the requests on the replicas of a service as a multiple of their slots.
func (s *Set) Load(service string) float64 {
	now := s.timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	requests, slots := 0, 0
	for _, r := range s.byService[service] {
		if !r.leaves() {
			requests += r.inFlight + r.elsewhere(now)
			slots += r.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	return float64(requests) / float64(slots)
}

// Summary describes a replica for operators; Out says why it gets no requests, or nothing if it does.
type Summary struct {
	ID       string
	Service  string
	Domain   string
	Out      string
	InFlight int
	Failures float64
	// Delay is the usual time to the first byte.
	Delay time.Duration
}

// Summaries returns all replicas.
func (s *Set) Summaries() (all []Summary) {
	now := s.timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicas {
		all = append(all, Summary{
			ID: r.ID, Service: r.Service, Domain: r.Domain, Out: r.out(now), InFlight: r.inFlight,
			Failures: r.recentFailures(now), Delay: time.Duration(r.delay),
		})
	}
	return all
}

// out says why a replica gets no requests; nothing if it does.
func (r *replica) out(now time.Duration) string {
	switch {
	case r.Leaving:
		return "leaving"
	case r.saidLeaving:
		return "leaving, as it says itself"
	case r.misdirected:
		return "another replica has its address"
	case r.lapsed > 0 && now >= r.lapsed:
		return "not registered"
	}
	return ""
}
