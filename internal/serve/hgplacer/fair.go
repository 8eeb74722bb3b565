package hgplacer

import (
	"slices"
	"time"
)

const (
	// readPerToken and generatePerToken are the times in which an engine reads a token of a prompt and generates one. They weigh
	// requests against each other; only their ratio matters.
	readPerToken     = 17 * time.Microsecond
	generatePerToken = 2600 * time.Microsecond
	// assumedTokens is the number of tokens that a request is expected to generate if it does not say.
	assumedTokens = 100
	// maxTokens bounds the tokens of a request that count, so that one wrong number does not shut out its team.
	maxTokens = 1 << 20
)

// cost returns the time for which a request is expected to hold a slot.
func (r Request) cost() time.Duration {
	cached := 0
	for _, n := range r.Want.Kept {
		cached = max(cached, n)
	}
	read, generate := r.Want.Prompt-min(cached, maxTokens), r.Rank.Tokens
	if generate <= 0 {
		generate = assumedTokens
	}
	return time.Duration(min(max(read, 0), maxTokens))*readPerToken + time.Duration(min(generate, maxTokens))*generatePerToken
}

// class groups the waiting requests among which teams share: all of one class go before all of the next.
type class struct {
	late     bool
	priority int
}

func (r Rank) class() class { return class{late: r.Late, priority: r.Priority} }

func (c class) before(o class) bool {
	if c.late != o.late {
		return o.late
	}
	return c.priority < o.priority
}

// fairQueue orders waiting requests by start-time fair queueing over teams within each class, for services where some teams send
// many times their usual load: the time on slots that waiting teams get is equal, whatever their numbers of requests.
type fairQueue map[class]*sharing

// sharing holds the teams with waiting requests in one class. It is dropped with the last of these, when no team is owed any time.
type sharing struct {
	// now is the virtual time: the largest start tag among the requests that have been served.
	now   time.Duration
	flows map[string]*flow
	// waiting is the number of waiting requests.
	waiting int
}

// flow holds the waiting requests of one team in one class, in the order of Rank.before. One without waiting requests is kept while
// its finish tag is ahead of the virtual time.
type flow struct {
	waiting []*item
	// start is the start tag of the next request, and finish the finish tag of the last one that was served.
	start, finish time.Duration
}

func compareItems(a, b *item) int {
	switch {
	case a.Rank.before(b.Rank):
		return -1
	case b.Rank.before(a.Rank):
		return 1
	}
	return 0
}

func (f fairQueue) push(i *item) {
	s, ok := f[i.Rank.class()]
	if !ok {
		s = &sharing{flows: map[string]*flow{}}
		f[i.Rank.class()] = s
	}
	w, ok := s.flows[i.Rank.Team]
	if !ok {
		w = &flow{}
		s.flows[i.Rank.Team] = w
	}
	if len(w.waiting) == 0 {
		w.start = max(s.now, w.finish)
	}
	at, _ := slices.BinarySearchFunc(w.waiting, i, compareItems)
	w.waiting = slices.Insert(w.waiting, at, i)
	s.waiting++
}

// remove removes a request that is waiting; if it is served, its team is charged for it.
func (f fairQueue) remove(i *item, served bool) {
	s := f[i.Rank.class()]
	w := s.flows[i.Rank.Team]
	if served {
		s.now = max(s.now, w.start)
		w.finish = w.start + i.cost()
		w.start = w.finish
	}
	at, _ := slices.BinarySearchFunc(w.waiting, i, compareItems)
	at += slices.Index(w.waiting[at:], i)
	w.waiting = slices.Delete(w.waiting, at, at+1)
	if s.waiting--; s.waiting == 0 {
		delete(f, i.Rank.class())
	}
}

// first returns the request to serve next; f must not be empty.
func (f fairQueue) first() *item {
	var c class
	var best *sharing
	for of, s := range f {
		if best == nil || of.before(c) {
			c, best = of, s
		}
	}
	return best.first()
}

// first returns the first request of the team with the lowest start tag, and drops teams that need not be remembered.
func (s *sharing) first() (i *item) {
	var start time.Duration
	for team, w := range s.flows {
		if len(w.waiting) == 0 {
			if w.finish <= s.now {
				delete(s.flows, team)
			}
			continue
		}
		head := w.waiting[0]
		if i == nil || w.start < start || w.start == start && head.isBefore(i) {
			i, start = head, w.start
		}
	}
	return i
}

// isBefore orders the first requests of two teams whose turn it is.
func (i *item) isBefore(o *item) bool {
	if d := compareItems(i, o); d != 0 {
		return d < 0
	}
	return i.Rank.Team < o.Rank.Team
}

// FullLoadFair is the load from which new programs are refused also to a team that holds no place while other teams do. It is above
// FullLoadUrgent, so that the load of a team over its share does not shut out others, and well below Window.
const FullLoadFair = 1.5

// usage is the number of places that each team holds on the replicas of one service; it has no entry for a team without any.
type usage map[string]int

func (u usage) add(team string, n int) {
	if u[team] += n; u[team] <= 0 {
		delete(u, team)
	}
}

// unused returns the part of its fair share of the places in flight that a team does not use; 0 if it uses all of it or if no other
// team is there. Teams with places or waiting requests share alike, and the team's waiting requests count as places.
func (u usage) unused(team string, waiting map[string]int) float64 {
	teams, places := map[string]bool{team: true}, 0
	for t, n := range u {
		teams[t] = true
		places += n
	}
	for t := range waiting {
		teams[t] = true
	}
	if len(teams) == 1 || places == 0 {
		return 0
	}
	return max(1-float64((u[team]+waiting[team])*len(teams))/float64(places), 0)
}

// IsFullFor reports whether a load, in requests per slot, is too high for a new program of a priority and of a team that leaves a part
// of its fair share unused. The limit rises with that part, up to FullLoadFair.
func IsFullFor(load float64, priority int, unused float64) bool {
	return IsFull(load, priority) && (unused <= 0 || load >= FullLoad+(FullLoadFair-FullLoad)*min(unused, 1))
}
