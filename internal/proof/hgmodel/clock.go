package hgmodel

import (
	"container/heap"
	"time"
)

// Clock is virtual time with the events that are due; it serves as the timer of the parts under test. It is used by
// one goroutine.
type Clock struct {
	now    time.Duration
	events events
	next   uint64
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// Now returns the virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// At runs a function at a time, or at once if that has passed.
func (c *Clock) At(at time.Duration, run func()) {
	c.next++
	heap.Push(&c.events, event{at: max(at, c.now), order: c.next, run: run})
}

// After runs a function after a time unless the returned function is called first.
func (c *Clock) After(d time.Duration, fn func(now time.Duration)) (stop func()) {
	stopped := false
	c.At(c.now+d, func() {
		if !stopped {
			fn(c.now)
		}
	})
	return func() { stopped = true }
}

// Every runs a function once a period until the returned function is called.
func (c *Clock) Every(period time.Duration, fn func(now time.Duration)) (stop func()) {
	stopped := false
	var again func()
	again = func() {
		if stopped {
			return
		}
		fn(c.now)
		c.At(c.now+period, again)
	}
	c.At(c.now+period, again)
	return func() { stopped = true }
}

// String names the timer.
func (c *Clock) String() string { return "virtual" }

// Run plays the events until a time.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}
