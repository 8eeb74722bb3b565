package hgplacer

import (
	"context"
	"sync"
	"time"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/serve/hgreplica"
)

// Verdict is the answer to a request for a place.
type Verdict string

const (
	// Granted says that the request has a place.
	Granted Verdict = "granted"
	// Full says that the request begins a program and that the load is too high for new programs.
	Full Verdict = "full"
	// Expired says that the request got no place within its wait, or that its caller left.
	Expired Verdict = "expired"
	// NoReplica says that the service has no usable replica.
	NoReplica Verdict = "noReplica"
)

// PlaceRequest is a request for a place on a replica; nodes send it to the placer of their failure domain.
type PlaceRequest struct {
	// ID identifies this request for a place; it must be unique among all that the placer gets.
	ID   string
	Want hgreplica.Want
	Rank Rank
	// Wait is the longest time in the queue. Left is the time until the request must end, for which a granted place may be held.
	Wait, Left time.Duration
}

const (
	// Window is the most requests in flight on a replica, as a multiple of its slots. It is above 1 because turns that queue
	// at the replica that has their history cached do better than turns that move to an idle replica.
	Window = 3
	// FullLoad is the load of a service, in requests per slot, from which new programs are refused and have to come back
	// later. Limits from 1.0 to 1.2 serve the most programs; with higher ones programs in progress miss their deadlines.
	FullLoad = 1.1
	// FullLoadUrgent is the same limit for routes of priority 0, the most urgent ones.
	FullLoadUrgent = 1.25
	// overdueGrace is how long a place is held beyond the deadline of its request if no release arrives.
	overdueGrace = time.Second
	// sweepInterval is the time between two sweeps, which release overdue places and fill capacity that appeared without
	// a release.
	sweepInterval = 100 * time.Millisecond
)

// Placer places the requests of a failure domain on replicas; it is safe for concurrent use.
type Placer struct {
	set   *hgreplica.Set
	timer hgtimer.Timer

	mu     sync.Mutex
	queues map[string]*Queue
	// used holds the places in flight of each service by team.
	used map[string]usage
	// waiters holds the channel of each queued request, which gets the lease, or nil if no replica is left.
	waiters map[string]chan *hgreplica.Lease
	// held holds the leases of other nodes' requests by the ID of their PlaceRequest.
	held map[string]heldLease
}

type heldLease struct {
	lease *hgreplica.Lease
	// until is when the place is overdue, on the placer's timer.
	until time.Duration
}

// NewPlacer returns a placer for the replicas in set; it sweeps until the timer stops.
func NewPlacer(set *hgreplica.Set, timer hgtimer.Timer) *Placer {
	p := &Placer{set: set, timer: timer, queues: map[string]*Queue{}, used: map[string]usage{}, waiters: map[string]chan *hgreplica.Lease{}, held: map[string]heldLease{}}
	timer.Every(sweepInterval, p.sweep)
	return p
}

// Place waits for a place, for a.Wait at most and until ctx ends; the lease is nil unless the verdict is Granted.
func (p *Placer) Place(ctx context.Context, a PlaceRequest) (l *hgreplica.Lease, v Verdict) {
	if !p.set.HasAny(a.Want) {
		return nil, NoReplica
	}
	ctx, cancel := context.WithTimeout(ctx, a.Wait)
	defer cancel()
	granted, v := p.push(a)
	if granted == nil {
		return nil, v
	}
	p.grantQueued(a.Want.Service)
	select {
	case l = <-granted:
		if l == nil {
			return nil, NoReplica
		}
	case <-ctx.Done():
		if l = p.withdraw(a, granted); l == nil {
			return nil, Expired
		}
	}
	l.OnRelease(func(hgreplica.Outcome) {
		p.noteReleased(a.Want.Service, a.Rank.Team)
		p.grantQueued(a.Want.Service)
	})
	return l, Granted
}

// push adds a request to the queue of its service, unless it begins a program and the load is too high for new programs, or
// another request under its ID waits.
func (p *Placer) push(a PlaceRequest) (granted chan *hgreplica.Lease, refused Verdict) {
	if a.Rank.New && IsFullFor(p.set.Load(a.Want.Service), a.Rank.Priority, p.Unused(a.Want.Service, a.Rank.Team)) {
		return nil, Full
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.waiters[a.ID]; ok {
		return nil, Expired
	}
	a.Want.Window, a.Rank.Arrived = Window, p.timer.Now()
	granted = make(chan *hgreplica.Lease, 1)
	p.waiters[a.ID] = granted
	p.queue(a.Want.Service).Push(Request{ID: a.ID, Want: a.Want, Rank: a.Rank})
	return granted, ""
}

// IsFull reports whether a load, in requests per slot, is too high for a new program of a priority.
func IsFull(load float64, priority int) bool {
	if priority == 0 {
		return load >= FullLoadUrgent
	}
	return load >= FullLoad
}

// Unused returns the part of its fair share of the places of a service that a team does not use; 0 if no other team is there.
func (p *Placer) Unused(service, team string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used[service].unused(team, p.queue(service).byTeam)
}

// noteReleased records that a place of a team is free.
func (p *Placer) noteReleased(service, team string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used[service].add(team, -1)
}

// Load returns the requests in flight per slot on the replicas of a service.
func (p *Placer) Load(service string) float64 { return p.set.Load(service) }

// queue returns the queue of a service and creates it if there is none; p.mu is held.
func (p *Placer) queue(service string) *Queue {
	q, ok := p.queues[service]
	if !ok {
		q = NewQueue()
		p.queues[service], p.used[service] = q, usage{}
	}
	return q
}

// withdraw removes a request from the queue; it returns the lease if a place was granted meanwhile.
func (p *Placer) withdraw(a PlaceRequest, granted chan *hgreplica.Lease) (l *hgreplica.Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, a.ID)
	if p.queue(a.Want.Service).Remove(a.ID) {
		return nil
	}
	select {
	case l = <-granted:
	default:
	}
	return l
}

// grantQueued grants places to the first requests in the queue of a service until the next one has to wait. If the service
// has no usable replica, it ends the wait of all of them.
func (p *Placer) grantQueued(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.set.HasAny(hgreplica.Want{Service: service}) {
		for _, id := range p.queue(service).Clear() {
			if granted, ok := p.waiters[id]; ok {
				granted <- nil
				delete(p.waiters, id)
			}
		}
		return
	}
	for {
		r, l, ok := p.queue(service).Next(p.set.Pick)
		if !ok {
			return
		}
		p.used[service].add(r.Rank.Team, 1)
		p.waiters[r.ID] <- l
		delete(p.waiters, r.ID)
	}
}

// Hold keeps the lease of another node's request until Release is called for it or it is overdue. A lease that is held under the
// same ID is released.
func (p *Placer) Hold(a PlaceRequest, l *hgreplica.Lease) {
	p.mu.Lock()
	before, ok := p.held[a.ID]
	p.held[a.ID] = heldLease{lease: l, until: p.timer.Now() + a.Left + overdueGrace}
	p.mu.Unlock()
	if ok {
		before.lease.Release()
	}
}

// Release ends another node's request: it removes the request from the queue, or applies o to its lease and releases it.
func (p *Placer) Release(id string, o hgreplica.Outcome) {
	p.mu.Lock()
	h, ok := p.held[id]
	delete(p.held, id)
	for _, q := range p.queues {
		q.Remove(id)
	}
	p.mu.Unlock()
	if ok {
		h.lease.Apply(o)
	}
}

// sweep releases overdue places and grants places that became free without a release, for example on a new replica.
func (p *Placer) sweep(now time.Duration) {
	for _, l := range p.takeOverdue(now) {
		l.Release()
	}
	for _, service := range p.queuedServices() {
		p.grantQueued(service)
	}
}

// takeOverdue removes the overdue leases from p.held and returns them.
func (p *Placer) takeOverdue(now time.Duration) (leases []*hgreplica.Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, h := range p.held {
		if now >= h.until {
			leases = append(leases, h.lease)
			delete(p.held, id)
		}
	}
	return leases
}

// queuedServices returns the services for which requests wait.
func (p *Placer) queuedServices() (names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, q := range p.queues {
		if q.Len() > 0 {
			names = append(names, name)
		}
	}
	return names
}

// String implements fmt.Stringer.
func (p *Placer) String() string { return "placer" }
