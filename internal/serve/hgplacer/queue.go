package hgplacer

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"hyssopgrade/internal/serve/hgreplica"
)

// Request wants a place.
type Request struct {
	// ID names the request among all that the queue holds.
	ID   string
	Want hgreplica.Want
	Rank Rank
}

// Rank orders requests that wait.
type Rank struct {
	// New says that the request begins a program. Programs under way go first, as they hold what they were served so far.
	New bool
	// Late says that the program has passed its aim.
	Late bool
	// Priority is the rank of the route; 0 goes first.
	Priority int
	// Arrived is when the request came.
	Arrived time.Duration
}

// before says whether one rank goes before another.
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
	waiting waiting
	byID    map[string]*item
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{byID: map[string]*item{}} }

type item struct {
	Request
	index int
}

// Push adds a request.
func (q *Queue) Push(r Request) {
	i := &item{Request: r}
	q.byID[r.ID] = i
	heap.Push(&q.waiting, i)
}

// Remove takes a request out, and says whether it was there.
func (q *Queue) Remove(id string) (ok bool) {
	i, ok := q.byID[id]
	if ok {
		heap.Remove(&q.waiting, i.index)
		delete(q.byID, id)
	}
	return ok
}

// Clear takes out all requests and returns their identifiers.
func (q *Queue) Clear() (ids []string) {
	ids = slices.Collect(maps.Keys(q.byID))
	*q = *NewQueue()
	return ids
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Next takes out the first request if there is a place for it.
func (q *Queue) Next(place func(w hgreplica.Want) (l *hgreplica.Lease, ok bool)) (r Request, l *hgreplica.Lease, ok bool) {
	if len(q.waiting) == 0 {
		return r, nil, false
	}
	r = q.waiting[0].Request
	if l, ok = place(r.Want); ok {
		q.Remove(r.ID)
	}
	return r, l, ok
}

type waiting []*item

func (w waiting) Len() int           { return len(w) }
func (w waiting) Less(i, j int) bool { return w[i].Rank.before(w[j].Rank) }
func (w waiting) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}
func (w *waiting) Push(x any) {
	i := x.(*item)
	i.index = len(*w)
	*w = append(*w, i)
}
func (w *waiting) Pop() any {
	last := len(*w) - 1
	i := (*w)[last]
	*w = (*w)[:last]
	return i
}
