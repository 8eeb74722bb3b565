package hgmodel

import (
	"container/heap"
	"time"
)

// Clock is a discrete-event clock in virtual time. The production code under simulation uses it as its timer. A Clock is
// not safe for concurrent use.
type Clock struct {
	now    time.Duration
	events events
	next   uint64
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
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

// At schedules run for a virtual time; a time in the past means the current one. Events due at the same time run in the
// order in which they were scheduled.
func (c *Clock) At(at time.Duration, run func()) {
	c.next++
	heap.Push(&c.events, event{at: max(at, c.now), seq: c.next, run: run})
}

// After calls fn once after the delay d, unless stop is called first.
func (c *Clock) After(d time.Duration, fn func(now time.Duration)) (stop func()) {
	stopped := false
	c.At(c.now+d, func() {
		if !stopped {
			fn(c.now)
		}
	})
	return func() { stopped = true }
}

// Every calls fn once per period until stop is called.
func (c *Clock) Every(period time.Duration, fn func(now time.Duration)) (stop func()) {
	stopped := false
	var tick func()
	tick = func() {
		if stopped {
			return
		}
		fn(c.now)
		c.At(c.now+period, tick)
	}
	c.At(c.now+period, tick)
	return func() { stopped = true }
}

// String returns the name of this kind of timer.
func (c *Clock) String() string { return "virtual" }

// Run processes the events due up to and including the time until, and then sets the clock to it.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}
