package hgplacer

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"hyssopgrade/internal/serve/hgreplica"
)

// Request is a request that waits in a Queue for a place.
type Request struct {
	// ID is unique among the requests in the queue.
	ID   string
	Want hgreplica.Want
	Rank Rank
}

// Rank orders the waiting requests. Requests of late programs go last, and requests of programs in progress go before those
// of new programs; within each of these groups the lower Priority goes first, then the earlier Arrived. While several teams wait,
// this is the order within a team only: requests of late programs go last, then the lower Priority goes first, then teams share alike.
type Rank struct {
	// New says that the request begins a program. Programs in progress go first, because work has already been spent on them.
	New bool
	// Late says that the deadline of the program has passed.
	Late bool
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// Arrived is when the request entered the queue, on the placer's timer.
	Arrived time.Duration
	// Team is the team that the request belongs to; empty without teams.
	Team string
	// Tokens is the number of tokens that the request is expected to generate; 0 if that is not known. It counts between teams only.
	Tokens int
}

// before reports whether a request of rank r is served before one of rank o.
func (r Rank) before(o Rank) bool {
	switch {
	case r.Late != o.Late:
		return o.Late
	case r.New != o.New:
		return o.New
	case r.Priority != o.Priority:
		return r.Priority < o.Priority
	}
	return r.Arrived < o.Arrived
}

// Queue holds the requests that wait for a place; it is not safe for concurrent use.
type Queue struct {
	waiting rankHeap
	byID    map[string]*item
	// fair holds the same requests by team, and byTeam their number; no entry is 0.
	fair   fairQueue
	byTeam map[string]int
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{byID: map[string]*item{}, fair: fairQueue{}, byTeam: map[string]int{}}
}

type item struct {
	Request
	index int
}

// Push adds a request, whose ID must not be in the queue yet.
func (q *Queue) Push(r Request) {
	i := &item{Request: r}
	q.byID[r.ID] = i
	heap.Push(&q.waiting, i)
	q.fair.push(i)
	q.byTeam[r.Rank.Team]++
}

// Remove removes a request and reports whether it was in the queue.
func (q *Queue) Remove(id string) (ok bool) {
	i, ok := q.byID[id]
	if ok {
		q.remove(i, false)
	}
	return ok
}

func (q *Queue) remove(i *item, served bool) {
	heap.Remove(&q.waiting, i.index)
	delete(q.byID, i.ID)
	q.fair.remove(i, served)
	if q.byTeam[i.Rank.Team]--; q.byTeam[i.Rank.Team] == 0 {
		delete(q.byTeam, i.Rank.Team)
	}
}

// Clear removes all requests and returns their IDs in no particular order.
func (q *Queue) Clear() (ids []string) {
	ids = slices.Collect(maps.Keys(q.byID))
	*q = *NewQueue()
	return ids
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Next calls pick for the first request and, if pick returns a lease, removes the request. While the first request has to
// wait, ok is false and no other request is tried.
func (q *Queue) Next(pick func(w hgreplica.Want) (l *hgreplica.Lease, ok bool)) (r Request, l *hgreplica.Lease, ok bool) {
	if len(q.waiting) == 0 {
		return r, nil, false
	}
	i := q.waiting[0]
	if len(q.byTeam) > 1 {
		i = q.fair.first()
	}
	if l, ok = pick(i.Want); ok {
		q.remove(i, true)
	}
	return i.Request, l, ok
}

// rankHeap implements heap.Interface; the first request to serve is at index 0.
type rankHeap []*item

func (h rankHeap) Len() int           { return len(h) }
func (h rankHeap) Less(i, j int) bool { return h[i].Rank.before(h[j].Rank) }
func (h rankHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *rankHeap) Push(x any) {
	i := x.(*item)
	i.index = len(*h)
	*h = append(*h, i)
}
func (h *rankHeap) Pop() any {
	last := len(*h) - 1
	i := (*h)[last]
	*h = (*h)[:last]
	return i
}
