package hgreplica

import (
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/serve/hgpace"
)

// Registration describes a replica as its row in the platform's store lists it.
type Registration struct {
	ID      string
	Service string
	// Address is the IP address and port that serve requests.
	Address string
	// Domain is the failure domain of the replica.
	Domain string
	// Slots is the number of requests that the replica runs at once; further ones wait there.
	Slots int
	// Leaving says that the replica takes no new requests because it is about to end.
	Leaving bool
	// ColdLeft is how much longer the replica is slow because it has just started.
	ColdLeft time.Duration
	// Born identifies the start of the process. If it changes, the replica has restarted and has lost its cache and state.
	Born string
}

type replica struct {
	Registration
	client *http.Client
	// idle is how long the client keeps unused connections open.
	idle time.Duration
	// lapsesAt is when a missing registration counts as gone; 0 while the registration is listed.
	lapsesAt time.Duration
	// inFlight is the number of requests that this node placed on the replica.
	inFlight int
	// reported is the number of requests of other nodes by the replica's last load report, which arrived at reportedAt.
	reported   int
	reportedAt time.Duration
	// peerInFlight is the number of requests that the peers have in flight there, by their heartbeats.
	peerInFlight int
	// delay is the moving average of the time to the first byte in nanoseconds, last updated at delayAt; 0 before any answer.
	delay   float64
	delayAt time.Duration
	// failures is the decayed number of failures as of failedAt.
	failures float64
	failedAt time.Duration
	// streak is the number of failures since the last answer.
	streak int
	// announcedLeaving says that the replica itself announced that it is leaving.
	announcedLeaving bool
	// misdirected says that another replica has taken over the address.
	misdirected bool
	// pace tracks whether the replica hangs, how slow its machine is, and how many requests it may have.
	pace *hgpace.Replica
}

// Set tracks the replicas of all services; it is safe for concurrent use.
type Set struct {
	timer     hgtimer.Timer
	domain    string
	newClient func(idle time.Duration) *http.Client

	mu       sync.Mutex
	replicas map[string]*replica
	// byService groups the same replicas by service.
	byService map[string][]*replica
	// announced holds the time at which each incarnation was first known to be leaving by its announcement.
	announced map[Incarnation]time.Duration
	// onEnd is called for each replica that ended or restarted without having been known to be leaving.
	onEnd func(id string)
	// holds is the moving average of how long requests of each service hold a slot after their first byte, in nanoseconds.
	holds map[string]float64
	pace  *hgpace.Tracker
}

// NewSet returns an empty set for a node in a failure domain; newClient makes the client of a replica, which keeps unused
// connections open for idle.
func NewSet(timer hgtimer.Timer, domain string, newClient func(idle time.Duration) *http.Client) *Set {
	return &Set{
		timer: timer, domain: domain, newClient: newClient, replicas: map[string]*replica{}, announced: map[Incarnation]time.Duration{},
		holds: map[string]float64{}, pace: hgpace.NewTracker(),
	}
}

// OnEnd sets the function that is called for each replica that ended or restarted without having been known to be leaving.
// It must be called before the first Apply.
func (s *Set) OnEnd(fn func(id string)) { s.onEnd = fn }

// Apply replaces the registrations. lapse is the time that is left for replicas to register again after an outage of the
// store, or 0; until it has passed, replicas without a registration stay usable.
func (s *Set) Apply(entries map[string]Registration, lapse time.Duration) {
	for _, id := range s.replace(entries, lapse) {
		if s.onEnd != nil {
			s.onEnd(id)
		}
	}
}

// replace updates the replicas and returns the IDs of those that ended or restarted without having been known to be leaving.
func (s *Set) replace(entries map[string]Registration, lapse time.Duration) (ended []string) {
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
		if lapse > 0 && r.lapsesAt == 0 {
			r.lapsesAt = now + lapse
		}
		if lapse == 0 && (r.lapsesAt == 0 || now >= r.lapsesAt) {
			r.client.CloseIdleConnections()
			s.pace.Remove(r.pace)
			delete(s.replicas, id)
			if !r.isLeaving() {
				ended = append(ended, id)
			}
		}
	}
	s.byService = lo.GroupBy(lo.Values(s.replicas), func(r *replica) string { return r.Service })
	return ended
}

// apply updates a replica from its registration and reports whether it restarted without having been known to be leaving;
// s.mu is held.
func (s *Set) apply(id string, e Registration) (restarted bool) {
	r, ok := s.replicas[id]
	if !ok || r.Born != e.Born || r.Address != e.Address || r.Service != e.Service {
		if ok {
			r.client.CloseIdleConnections()
			s.pace.Remove(r.pace)
		}
		s.replicas[id] = &replica{
			Registration: e, client: s.newClient(defaultIdle), idle: defaultIdle, announcedLeaving: s.hasAnnouncedLeaving(e),
			pace: s.pace.Add(id, e.Born, e.Service),
		}
		s.replicas[id].pace.SetSlots(e.Slots)
		return ok && !r.isLeaving()
	}
	r.Registration = e
	r.pace.SetSlots(e.Slots)
	r.lapsesAt = 0
	return false
}

const (
	// defaultIdle is how long unused connections are kept open until the replica has reported how long it keeps them.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier than the replica this node closes an unused connection.
	idleMargin = 1500 * time.Millisecond
	// minIdle is the shortest time for which an unused connection is kept open.
	minIdle = 500 * time.Millisecond
)

// keepIdle adapts the client to how long the replica keeps unused connections. Connections that are already open keep their
// old timeout. s.mu is held.
func (s *Set) keepIdle(r *replica, keeps time.Duration) {
	idle := max(keeps-idleMargin, minIdle)
	if idle == r.idle {
		return
	}
	r.idle, r.client = idle, s.newClient(idle)
}

// Want describes a request for which a replica is picked.
type Want struct {
	Service string
	// Exclude holds the IDs of replicas that must not be picked.
	Exclude map[string]bool
	// Prompt is the length of the prompt in tokens, and Kept how many of them each replica has cached, by replica ID.
	Prompt int
	Kept   map[string]int
	// Far is the cost of a replica in another failure domain.
	Far time.Duration
	// Fetch is the cost of fetching cached prompt tokens from another replica.
	Fetch FetchCost
	// Window bounds the requests in flight on a replica, as a multiple of its slots; 0 means no bound.
	Window float64
	// Repeatable says that the request may be sent to another replica after it was sent to one that does not answer, and Left is
	// the time until its deadline.
	Repeatable bool
	Left       time.Duration
}

// Decision holds the figures by which a replica was picked; they are logged with the request.
type Decision struct {
	// Miss and Fetch are the prompt tokens that the replica has to read and to fetch. Own and All are the requests in flight
	// there, of the node that picked and of all nodes.
	Miss, Fetch, Own, All int
	// ReportAge is the age of the replica's last load report.
	ReportAge time.Duration
	// Cost is the time that the request is expected to lose.
	Cost time.Duration
	// Of is the number of replicas that could have been picked.
	Of int
	// Probe says that the replica is suspected of hanging: a request that it does not answer in this time is to be sent elsewhere.
	Probe time.Duration
}

// Pick returns a lease on the replica on which the request is expected to lose the least time; ok is false if no usable
// replica is below w.Window.
func (s *Set) Pick(w Want) (l *Lease, ok bool) {
	now := s.timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	baseline := s.baseline(w.Service)
	sources := s.sources(w, now)
	probed, avoided := s.probe(w, now), s.avoided(w, now)
	var best *replica
	var why Decision
	var from *replica
	of := 0
	least := time.Duration(math.MaxInt64)
	for _, r := range s.byService[w.Service] {
		if !r.isUsable(w, now) || probed != nil && r != probed || probed == nil && avoided[r] {
			continue
		}
		v := r.view(now, baseline)
		if w.Window > 0 && float64(v.inFlight) >= w.Window*float64(v.slots) {
			continue
		}
		v.hold = max(time.Duration(s.holds[w.Service]), minHold)
		if r.Domain != s.domain {
			v.farCost = w.Far
		}
		source := sources.planFetch(&v, w, r.ID)
		// A small random part spreads the picks that nodes make at the same time from the same load reports.
		if c := v.cost() + time.Duration(rand.Int64N(int64(2*time.Millisecond))); c < least {
			best, from, least = r, source, c
			why = Decision{Miss: v.missTokens, Fetch: v.fetchTokens, Own: r.inFlight, All: v.inFlight, ReportAge: now - r.reportedAt, Cost: c}
		}
		of++
	}
	if best == nil {
		return nil, false
	}
	best.inFlight++
	why.Of = of
	if probed != nil {
		why.Probe = probed.pace.Probe(now)
	}
	l = &Lease{ID: best.ID, Address: best.Address, Client: best.client, Why: why, set: s, replica: best}
	if from != nil {
		l.FetchFrom = from.Address
	}
	return l, true
}

// isUsable reports whether the replica may get the request, regardless of its load.
func (r *replica) isUsable(w Want, now time.Duration) bool {
	return r.Service == w.Service && !w.Exclude[r.ID] && r.unusableReason(now) == ""
}

// baseline returns the least average time to the first byte among the replicas of a service that are not leaving; 0 before
// any answer. s.mu is held.
func (s *Set) baseline(service string) time.Duration {
	least := math.MaxFloat64
	for _, r := range s.byService[service] {
		if !r.isLeaving() && r.delay > 0 {
			least = min(least, r.delay)
		}
	}
	if least == math.MaxFloat64 {
		return 0
	}
	return time.Duration(least)
}

// othersInFlight returns the number of requests of other nodes: the heartbeats' figure, or that of the replica's own load
// report if it is fresh and higher.
func (r *replica) othersInFlight(now time.Duration) int {
	if now-r.reportedAt < loadReportTTL {
		return max(r.reported, r.peerInFlight)
	}
	return r.peerInFlight
}

func (r *replica) view(now, baseline time.Duration) view {
	delay := time.Duration(r.delay)
	if excess := r.delay - float64(baseline); excess > 0 {
		delay = baseline + time.Duration(excess*decay(now-r.delayAt, delayHalfLife))
	}
	return view{
		slots: r.Slots, inFlight: r.inFlight + r.othersInFlight(now), delay: delay, baseline: baseline,
		failures: r.recentFailures(now), coldLeft: r.ColdLeft, slowness: r.pace.Slowness(now),
	}
}

// recentFailures returns the number of failures, decayed to now.
func (r *replica) recentFailures(now time.Duration) float64 {
	if r.failures == 0 {
		return 0
	}
	return r.failures * decay(now-r.failedAt, failureHalfLife*time.Duration(min(max(r.streak, 1), maxStreak)))
}

// addFailures adds n failures to the decayed count.
func (r *replica) addFailures(now time.Duration, n float64) {
	r.failures = r.recentFailures(now) + n
	r.failedAt = now
}

// recordError records that the replica ran a request and answered with a failure. A single one may be the fault of the
// request. From errorStreak such answers in a row on they count as failures of the replica: one that fails requests at once
// looks idle and would attract more of them.
func (r *replica) recordError(now time.Duration) {
	r.streak++
	switch {
	case r.streak == errorStreak:
		r.addFailures(now, errorStreak)
	case r.streak > errorStreak:
		r.addFailures(now, 1)
	}
}

// decay returns the factor that remains after age of a value that halves every halfLife.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// observeHold adds the time that a request held a slot after its first byte to the average of its service; s.mu is held.
func (s *Set) observeHold(service string, held time.Duration) {
	s.holds[service] += averageWeight * (float64(held) - s.holds[service])
}

// InFlight returns the number of requests that this node placed, for each replica that has any.
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

// SetPeerInFlight replaces the number of requests that the peers have in flight on each replica, as their heartbeats say.
func (s *Set) SetPeerInFlight(n map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.replicas {
		r.peerInFlight = n[id]
	}
}

// HasAny reports whether a replica may get the request, now or once it has capacity.
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

// maxLoadPerSlot bounds the requests per slot that a replica adds to the load of its service, so that one wrong report does not make all
// of its replicas look busy. Placers send no replica more.
const maxLoadPerSlot = 3

// Load returns the requests in flight per slot on the replicas of a service, without those that are leaving.
func (s *Set) Load(service string) float64 {
	now := s.timer.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	requests, slots := 0, 0
	for _, r := range s.byService[service] {
		if !r.isLeaving() {
			requests += min(r.inFlight+r.othersInFlight(now), maxLoadPerSlot*r.Slots)
			slots += r.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	return float64(requests) / float64(slots)
}
