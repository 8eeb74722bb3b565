package hgentry

import (
	"time"

	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
)

const (
	// placeWait is the longest time for which a request of an engine waits for a place. Callers leave a stream that has
	// not begun for two seconds, or later.
	placeWait = 1800 * time.Millisecond
	// placeShare is the share of what is left of a request's time that it waits for a place.
	placeShare = 0.8
)

// take finds a place for a request: at once for plain services, whose requests are short, and by the placer for engines.
func (x *exchange) take(w hgreplica.Want) (l *hgreplica.Lease, err error) {
	if x.state.Services[w.Service].Engine == nil {
		l, ok := x.entry.replicas.Pick(w)
		if !ok {
			return nil, errNoReplica
		}
		return l, nil
	}
	a := hgplacer.Ask{
		ID: x.attempt.ID, Want: w, Rank: x.rank(), Left: x.left(),
		Wait: min(placeWait, time.Duration(placeShare*float64(x.left()))),
	}
	began := x.entry.timer.Now()
	l, v := x.entry.places.Take(x.ctx, a)
	waited := x.entry.timer.Now() - began
	x.placeTook += waited
	x.entry.figures.Observe("place", waited)
	switch v {
	case hgplacer.Granted:
		return l, nil
	case hgplacer.Full:
		return nil, errFull
	case hgplacer.NoReplica:
		return nil, errNoReplica
	}
	return nil, errNoPlace
}

// rank orders the request among those that wait.
func (x *exchange) rank() hgplacer.Rank {
	return hgplacer.Rank{New: x.turn != nil && x.turn.open.New && x.tries == 0, Late: x.isLate(), Priority: x.route.Priority}
}

// isLate says whether the request's program has passed its aim.
func (x *exchange) isLate() bool {
	return x.attempt.HasProgramLeft && x.entry.timer.Now()-x.start >= x.attempt.ProgramLeft
}
