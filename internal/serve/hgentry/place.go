package hgentry

import (
	"time"

	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
)

const (
	// maxLeaseWait is the longest time that a request for an engine waits for a lease. Callers wait at least two seconds
	// for a stream to begin before they disconnect, so the wait ends before that.
	maxLeaseWait = 1800 * time.Millisecond
	// leaseWaitShare is the largest share of a request's remaining time that it waits for a lease.
	leaseWaitShare = 0.8
)

// acquireLease leases a replica. Requests of plain services are short and get one without queueing; those for engines wait
// in the placer's queue.
func (x *exchange) acquireLease(w hgreplica.Want) (l *hgreplica.Lease, err error) {
	if x.state.Services[w.Service].Engine == nil {
		l, ok := x.entry.replicas.Pick(w)
		if !ok {
			return nil, errNoReplica
		}
		return l, nil
	}
	a := hgplacer.PlaceRequest{
		ID: x.attempt.ID, Want: w, Rank: x.rank(), Left: x.remaining(),
		Wait: min(maxLeaseWait, time.Duration(leaseWaitShare*float64(x.remaining()))),
	}
	began := x.entry.timer.Now()
	defer x.entry.uses.wait(x.team.Name)()
	l, v := x.entry.placer.Take(x.ctx, a)
	waited := x.entry.timer.Now() - began
	x.leaseTime += waited
	x.entry.metrics.Observe("place", waited)
	switch v {
	case hgplacer.Granted:
		return l, nil
	case hgplacer.Full:
		return nil, errBusy
	case hgplacer.NoReplica:
		return nil, errNoReplica
	}
	return nil, errNoLease
}

// rank returns the request's rank in the placer's queue.
func (x *exchange) rank() hgplacer.Rank {
	return hgplacer.Rank{New: x.turn != nil && x.turn.open.New && x.tries == 0, Late: x.isLate(), Priority: x.priority(), Team: x.team.Name}
}

// isLate reports whether the deadline of the request's program has passed.
func (x *exchange) isLate() bool {
	return x.attempt.HasProgramLeft && x.entry.timer.Now()-x.start >= x.attempt.ProgramLeft
}
