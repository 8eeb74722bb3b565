package hgplacer

import (
	"context"
	"sync"
	"time"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/serve/hgreplica"
)

// Verdict is the answer to a question for a place.
type Verdict string

// The verdicts.
const (
	// Granted requests have a place.
	Granted Verdict = "granted"
	// Full is the answer to the first request of a program while replicas are full.
	Full Verdict = "full"
	// Expired requests had no place while their caller waited.
	Expired Verdict = "expired"
	// NoReplica says that no replica can be used at all.
	NoReplica Verdict = "noReplica"
)

// Ask asks for a place.
type Ask struct {
	// ID names the question; it must be unique among all that the placer gets.
	ID   string
	Want hgreplica.Want
	Rank Rank
	// Wait is how long to wait for a place, and Left how long a granted one may be held.
	Wait, Left time.Duration
}

const (
	// Window is the number of requests that a replica gets, as a multiple of its slots. In the model of the engines
	// (hgmodel) turns that wait at the replica that keeps their history do better than turns that move to a free one.
	Window = 3
	// FullForOthers and FullForUrgent are the requests on all replicas, as a multiple of their slots, from which new
	// programs have to come back, and those of the most urgent routes. By the model 1.0 to 1.2 serve the most; beyond
	// that programs under way miss their aims.
	FullForOthers = 1.1
	FullForUrgent = 1.25
	// overdue is how long a place is held beyond the time of its request, if nothing is heard of its end.
	overdue = time.Second
	// sweepEvery is the time between two looks for what is overdue, and for room that nobody told of.
	sweepEvery = 100 * time.Millisecond
)

// Placer gives places to the requests of a failure domain; it is safe for concurrent use.
type Placer struct {
	set   *hgreplica.Set
	timer hgtimer.Timer

	mu     sync.Mutex
	queues map[string]*Queue
	// waiting holds where the places of requests go, and held the places of other nodes' requests.
	waiting map[string]chan *hgreplica.Lease
	held    map[string]held
}

type held struct {
	lease *hgreplica.Lease
	until time.Duration
}

// NewPlacer returns a placer over the replicas that a node knows.
func NewPlacer(set *hgreplica.Set, timer hgtimer.Timer) *Placer {
	p := &Placer{set: set, timer: timer, queues: map[string]*Queue{}, waiting: map[string]chan *hgreplica.Lease{}, held: map[string]held{}}
	timer.Every(sweepEvery, p.sweep)
	return p
}

// Place waits for a place.
func (p *Placer) Place(ctx context.Context, a Ask) (l *hgreplica.Lease, v Verdict) {
	if !p.set.HasAny(a.Want) {
		return nil, NoReplica
	}
	ctx, cancel := context.WithTimeout(ctx, a.Wait)
	defer cancel()
	granted, ok := p.push(a)
	if !ok {
		return nil, Full
	}
	p.serve(a.Want.Service)
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
	l.OnRelease(func(hgreplica.Outcome) { p.serve(a.Want.Service) })
	return l, Granted
}

// push adds a request to its queue, unless it begins a program and replicas are full.
func (p *Placer) push(a Ask) (granted chan *hgreplica.Lease, ok bool) {
	if a.Rank.New && IsFull(p.set.Load(a.Want.Service), a.Rank.Priority) {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a.Want.Window, a.Rank.Arrived = Window, p.timer.Now()
	granted = make(chan *hgreplica.Lease, 1)
	p.waiting[a.ID] = granted
	p.queue(a.Want.Service).Push(Request{ID: a.ID, Want: a.Want, Rank: a.Rank})
	return granted, true
}

// IsFull says whether a load is too much for a new program of a rank.
func IsFull(load float64, priority int) bool {
	if priority == 0 {
		return load >= FullForUrgent
	}
	return load >= FullForOthers
}

// Load returns the requests on the replicas of a service as a multiple of their slots.
func (p *Placer) Load(service string) float64 { return p.set.Load(service) }

func (p *Placer) queue(service string) *Queue {
	q, ok := p.queues[service]
	if !ok {
		q = NewQueue()
		p.queues[service] = q
	}
	return q
}

// withdraw takes a request back; it returns the place if one was granted meanwhile.
func (p *Placer) withdraw(a Ask, granted chan *hgreplica.Lease) (l *hgreplica.Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, a.ID)
	if p.queue(a.Want.Service).Remove(a.ID) {
		return nil
	}
	select {
	case l = <-granted:
	default:
	}
	return l
}

// serve grants places to the first requests of a service for which there is room. When no replica is left for any request,
// none waits on.
func (p *Placer) serve(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.set.HasAny(hgreplica.Want{Service: service}) {
		for _, id := range p.queue(service).Clear() {
			if granted, ok := p.waiting[id]; ok {
				granted <- nil
				delete(p.waiting, id)
			}
		}
		return
	}
	for {
		r, l, ok := p.queue(service).Next(p.set.Pick)
		if !ok {
			return
		}
		p.waiting[r.ID] <- l
		delete(p.waiting, r.ID)
	}
}

// Hold keeps a place for another node's request, until it is left or overdue.
func (p *Placer) Hold(a Ask, l *hgreplica.Lease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[a.ID] = held{lease: l, until: p.timer.Now() + a.Left + overdue}
}

// Leave ends another node's request, with or without a place.
func (p *Placer) Leave(id string, o hgreplica.Outcome) {
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

// sweep frees places that are overdue and grants those that became free without word, as when replicas come.
func (p *Placer) sweep(now time.Duration) {
	for _, l := range p.overdue(now) {
		l.Release()
	}
	for _, service := range p.services() {
		p.serve(service)
	}
}

func (p *Placer) overdue(now time.Duration) (leases []*hgreplica.Lease) {
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

func (p *Placer) services() (names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, q := range p.queues {
		if q.Len() > 0 {
			names = append(names, name)
		}
	}
	return names
}

// String describes the placer.
func (p *Placer) String() string { return "placer" }
