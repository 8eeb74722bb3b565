package main

import (
	"net/http"
	"sync"
)

// runs holds the attempts that replicas ran, with how often.
type runs struct {
	mu    sync.Mutex
	times map[string]int
}

func newRuns() *runs { return &runs{times: map[string]int{}} }

// add records a run; it is a replica's began.
func (r *runs) add(q *http.Request, _ []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times[q.Header.Get("X-Attempt-Id")]++
}

func (r *runs) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.times[id] > 0
}
