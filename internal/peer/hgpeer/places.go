package hgpeer

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
)

// Places asks the node that places the requests of this failure domain, and chooses itself if that one does not answer.
type Places struct {
	placer  *hgplacer.Placer
	set     *hgreplica.Set
	members *Members
	client  *Client
	log     *slog.Logger
	// asked is the number of questions so far, which makes their identifiers unique.
	asked atomic.Int64

	mu sync.Mutex
	// loads is what the placer said of each service.
	loads map[string]heardLoad
	// answered is when each placer last answered a question.
	answered map[string]time.Duration
}

type heardLoad struct {
	load float64
	at   time.Duration
}

// NewPlaces returns the places of a site as one of its nodes gives and asks for them.
func NewPlaces(p *hgplacer.Placer, s *hgreplica.Set, m *Members, c *Client, log *slog.Logger) *Places {
	return &Places{placer: p, set: s, members: m, client: c, log: log, loads: map[string]heardLoad{}, answered: map[string]time.Duration{}}
}

// spareWait is what a message may take beyond the wait in the placer's queue.
const spareWait = 300 * time.Millisecond

// Take waits for a place; the lease is nil if there is none.
func (p *Places) Take(ctx context.Context, a hgplacer.Ask) (l *hgreplica.Lease, v hgplacer.Verdict) {
	// Callers choose their identifiers, and may use one twice.
	a.ID = fmt.Sprintf("%s/%s/%d", a.ID, p.members.Self().Boot, p.asked.Add(1))
	placer, self := p.members.Placer()
	if self {
		return p.placer.Place(ctx, a)
	}
	reply, err := p.ask(ctx, placer, a)
	left := func(o hgreplica.Outcome) { go p.leave(placer, a.ID, o) }
	switch {
	case err != nil && ctx.Err() != nil:
		left(hgreplica.Outcome{})
		return nil, hgplacer.Expired
	case err != nil:
		p.log.Warn("placer did not answer", "peer", placer.Name, "ask", a.ID, "error", err)
		left(hgreplica.Outcome{})
		return p.pick(a)
	case reply.Verdict != hgplacer.Granted:
		p.heard(a.Want.Service, reply.Load)
		return nil, reply.Verdict
	}
	p.heard(a.Want.Service, reply.Load)
	l, ok := p.set.Adopt(reply.Replica, reply.FetchFrom, reply.Why, left)
	if !ok {
		// The placer does not know yet that the replica leaves.
		left(hgreplica.Outcome{})
		return p.pick(a)
	}
	return l, hgplacer.Granted
}

// signTime is how long a placer may go without an answer to any question while one is open. Answers take a millisecond or
// two, and places become free all the time even while all requests wait.
const signTime = 100 * time.Millisecond

// ask asks a placer, and gives up when there is no sign of it.
func (p *Places) ask(ctx context.Context, placer Info, a hgplacer.Ask) (reply PlaceReply, err error) {
	began := p.members.Age()
	patience := patience{limit: a.Wait + spareWait, tick: signTime, isSilent: func() bool { return p.silentSince(placer.Name, began) >= signTime }}
	reply, err = await(ctx, p.members, placer, patience, func(ctx context.Context) (PlaceReply, error) {
		return p.client.Place(ctx, placer.Peer, a)
	})
	if err == nil {
		p.signed(placer.Name)
	}
	return reply, err
}

// signed notes an answer of a placer.
func (p *Places) signed(placer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered[placer] = p.members.Age()
}

// silentSince returns how long a placer has not answered, counted from a time at the earliest.
func (p *Places) silentSince(placer string, from time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Age() - max(p.answered[placer], from)
}

// pick chooses a replica by what this node knows.
func (p *Places) pick(a hgplacer.Ask) (l *hgreplica.Lease, v hgplacer.Verdict) {
	if l, ok := p.set.Pick(a.Want); ok {
		return l, hgplacer.Granted
	}
	return nil, hgplacer.NoReplica
}

// loadFor is how long the load that the placer said is taken for the present one.
const loadFor = 200 * time.Millisecond

func (p *Places) heard(service string, load float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads[service] = heardLoad{load: load, at: p.members.Age()}
}

// IsFull says whether replicas are known to be too full for a new program of a rank, without asking.
func (p *Places) IsFull(service string, priority int) bool {
	if _, self := p.members.Placer(); self {
		return hgplacer.IsFull(p.placer.Load(service), priority)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.loads[service]
	return ok && p.members.Age()-h.at < loadFor && hgplacer.IsFull(h.load, priority)
}

// leaveTime bounds the message that a place is free; one that is lost is overdue later.
const leaveTime = time.Second

func (p *Places) leave(placer Info, id string, o hgreplica.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	if err := p.client.Leave(ctx, placer.Peer, LeaveRequest{ID: id, Outcome: o}); err != nil {
		p.log.Debug("place not given back", "peer", placer.Name, "ask", id, "error", err)
	}
}

// Serve gives a place to a peer's request.
func (p *Places) Serve(ctx context.Context, a hgplacer.Ask) PlaceReply {
	l, v := p.placer.Place(ctx, a)
	if v != hgplacer.Granted {
		return PlaceReply{Verdict: v, Load: p.placer.Load(a.Want.Service)}
	}
	p.placer.Hold(a, l)
	return PlaceReply{Verdict: v, Replica: l.ID, FetchFrom: l.FetchFrom, Why: l.Why, Load: p.placer.Load(a.Want.Service)}
}

// Left ends a peer's request.
func (p *Places) Left(q LeaveRequest) { p.placer.Leave(q.ID, q.Outcome) }
