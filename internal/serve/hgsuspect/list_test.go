package hgsuspect_test

import (
	"fmt"
	"testing"
	"time"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/serve/hgsuspect"
)

type clock struct {
	hgtimer.Timer
	now time.Duration
}

func (c *clock) Now() time.Duration { return c.now }

func TestList(t *testing.T) {
	tests := map[string]struct {
		do      func(l *hgsuspect.List, c *clock)
		refused bool
	}{
		"two breaks": {func(l *hgsuspect.List, _ *clock) { l.Broke(request(1)); l.Broke(request(1)) }, false},
		"three":      {func(l *hgsuspect.List, _ *clock) { l.Broke(request(1)); l.Broke(request(1)); l.Broke(request(1)) }, true},
		"of others":  {func(l *hgsuspect.List, _ *clock) { l.Broke(request(1)); l.Broke(request(2)); l.Broke(request(3)) }, false},
		"cleared": {func(l *hgsuspect.List, _ *clock) {
			l.Broke(request(1))
			l.Broke(request(1))
			l.Ended(request(1))
			l.Broke(request(1))
		}, false},
		"over some minutes": {func(l *hgsuspect.List, c *clock) {
			l.Broke(request(1))
			l.Broke(request(1))
			c.now += 10 * time.Minute
			l.Broke(request(1))
		}, true},
		"long ago": {func(l *hgsuspect.List, c *clock) {
			l.Broke(request(1))
			l.Broke(request(1))
			c.now += 2 * time.Hour
			l.Broke(request(1))
		}, false},
		"a try after a minute": {func(l *hgsuspect.List, c *clock) {
			l.Broke(request(1))
			l.Broke(request(1))
			l.Broke(request(1))
			c.now += 2 * time.Minute
		}, false},
		"no second one soon": {func(l *hgsuspect.List, c *clock) {
			l.Broke(request(1))
			l.Broke(request(1))
			l.Broke(request(1))
			c.now += 2 * time.Minute
			l.Broke(request(1))
			c.now += 2 * time.Minute
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: time.Minute}
			l := hgsuspect.NewList(c, hglog.Discard())
			tt.do(l, c)
			if _, refused := l.Refused(request(1)); refused != tt.refused {
				t.Errorf("refused %v", refused)
			}
		})
	}
}

// TestFullListKeepsRefusedRequests has a caller break many distinct requests off, once each.
func TestFullListKeepsRefusedRequests(t *testing.T) {
	c := &clock{now: time.Minute}
	l := hgsuspect.NewList(c, hglog.Discard())
	const refused = 50
	for n := range uint64(refused) {
		for range 3 {
			l.Broke(request(n))
		}
	}
	for n := range uint64(50_000) {
		c.now += time.Millisecond
		l.Broke(request(refused + 10_000 + n))
	}
	for n := range uint64(refused) {
		if _, is := l.Refused(request(n)); !is {
			t.Fatalf("request %d is forgotten", n)
		}
	}
	if n := l.Len(); n > 10_000 {
		t.Errorf("%d entries are kept", n)
	}
}

// request returns one of several requests, of callers and for services of their own.
func request(n uint64) hgsuspect.Request {
	return hgsuspect.Request{Content: n, Caller: 1000 + n, Service: fmt.Sprint(n)}
}

// A request that is served all the while is told to peers when it breaks a replica off, not with each run.
func TestServedRequestIsNotToldWithEachRun(t *testing.T) {
	c := &clock{now: time.Minute}
	l := hgsuspect.NewList(c, hglog.Discard())
	l.Broke(request(1))
	told := 0
	for range 100 {
		c.now += time.Second
		l.Ended(request(1))
		offer := l.Offer("peer")
		told += len(offer.Records)
		l.Take("peer", hgsuspect.Exchange{Taken: offer.Now})
	}
	if told > 2 {
		t.Errorf("%d records are told, want those of content and caller", told)
	}
}
