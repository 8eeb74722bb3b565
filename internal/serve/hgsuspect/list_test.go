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
		"two crashes": {func(l *hgsuspect.List, _ *clock) { l.RecordCrash(request(1)); l.RecordCrash(request(1)) }, false},
		"three crashes": {func(l *hgsuspect.List, _ *clock) {
			l.RecordCrash(request(1))
			l.RecordCrash(request(1))
			l.RecordCrash(request(1))
		}, true},
		"of different requests": {func(l *hgsuspect.List, _ *clock) {
			l.RecordCrash(request(1))
			l.RecordCrash(request(2))
			l.RecordCrash(request(3))
		}, false},
		"cleared by a completed run": {func(l *hgsuspect.List, _ *clock) {
			l.RecordCrash(request(1))
			l.RecordCrash(request(1))
			l.RecordCompletion(request(1))
			l.RecordCrash(request(1))
		}, false},
		"over some minutes": {func(l *hgsuspect.List, c *clock) {
			l.RecordCrash(request(1))
			l.RecordCrash(request(1))
			c.now += 10 * time.Minute
			l.RecordCrash(request(1))
		}, true},
		"long ago": {func(l *hgsuspect.List, c *clock) {
			l.RecordCrash(request(1))
			l.RecordCrash(request(1))
			c.now += 2 * time.Hour
			l.RecordCrash(request(1))
		}, false},
		"retry after the refusal has expired": {func(l *hgsuspect.List, c *clock) {
			l.RecordCrash(request(1))
			l.RecordCrash(request(1))
			l.RecordCrash(request(1))
			c.now += 2 * time.Minute
		}, false},
		"longer refusal after a fourth crash": {func(l *hgsuspect.List, c *clock) {
			l.RecordCrash(request(1))
			l.RecordCrash(request(1))
			l.RecordCrash(request(1))
			c.now += 2 * time.Minute
			l.RecordCrash(request(1))
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

// Eviction from a full list must not drop refused requests: here a caller sends many different requests that crash a replica
// once each.
func TestFullListKeepsRefusedRequests(t *testing.T) {
	c := &clock{now: time.Minute}
	l := hgsuspect.NewList(c, hglog.Discard())
	const refused = 50
	for n := range uint64(refused) {
		for range 3 {
			l.RecordCrash(request(n))
		}
	}
	for n := range uint64(50_000) {
		c.now += time.Millisecond
		l.RecordCrash(request(refused + 10_000 + n))
	}
	for n := range uint64(refused) {
		if _, is := l.Refused(request(n)); !is {
			t.Fatalf("refused request %d was evicted", n)
		}
	}
	if n := l.Len(); n > 10_000 {
		t.Errorf("%d entries are kept", n)
	}
}

// request returns request n, which differs from all others in content, caller and service.
func request(n uint64) hgsuspect.Request {
	return hgsuspect.Request{Content: n, Caller: 1000 + n, Service: fmt.Sprint(n)}
}

// A request that keeps completing after a crash must not be reported to peers again after each completion.
func TestServedRequestIsNotToldWithEachRun(t *testing.T) {
	c := &clock{now: time.Minute}
	l := hgsuspect.NewList(c, hglog.Discard())
	l.RecordCrash(request(1))
	sentRecords := 0
	for range 100 {
		c.now += time.Second
		l.RecordCompletion(request(1))
		offer := l.Offer("peer")
		sentRecords += len(offer.Records)
		l.HandleAnswer("peer", hgsuspect.Exchange{Taken: offer.Now})
	}
	if sentRecords > 2 {
		t.Errorf("%d records sent, want those of content and caller", sentRecords)
	}
}
