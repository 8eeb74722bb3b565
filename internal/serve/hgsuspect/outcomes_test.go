package hgsuspect_test

import (
	"testing"
	"time"

	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/serve/hgsuspect"
)

// sent returns a request with some content from one of several callers; all are for the same service.
func sent(content, caller uint64) hgsuspect.Request {
	return hgsuspect.Request{Content: content, Caller: content*1000 + caller, Service: "tools"}
}

func TestSharedRequestsAndFailingServices(t *testing.T) {
	// crash has callers send the same content, which crashes a replica each time.
	crash := func(l *hgsuspect.List, content uint64, callers ...uint64) {
		for _, caller := range callers {
			l.RecordCrash(sent(content, caller))
		}
	}
	tests := map[string]struct {
		do func(l *hgsuspect.List, c *clock)
		// caller is the caller whose request with content 1 is checked after do.
		caller  uint64
		refused bool
	}{
		"one caller":        {func(l *hgsuspect.List, _ *clock) { crash(l, 1, 1, 1, 1) }, 1, true},
		"different callers": {func(l *hgsuspect.List, _ *clock) { crash(l, 1, 1, 2, 3) }, 4, true},
		"other caller completes it": {func(l *hgsuspect.List, c *clock) {
			crash(l, 1, 1, 2, 3)
			c.now += time.Second
			l.RecordCompletion(sent(1, 4))
		}, 5, false},
		"other caller completes it, its own caller never": {func(l *hgsuspect.List, c *clock) {
			crash(l, 1, 1, 1, 1)
			c.now += time.Second
			l.RecordCompletion(sent(1, 4))
		}, 1, true},
		"other caller completes it now and then": {func(l *hgsuspect.List, c *clock) {
			for range 20 {
				crash(l, 1, 2, 3, 4, 5)
				l.RecordCompletion(sent(1, 6))
				c.now += time.Second
			}
			crash(l, 1, 2, 3, 4, 5)
		}, 7, false},
		"the service fails and recovers": {func(l *hgsuspect.List, c *clock) {
			crash(l, 2, 1)
			crash(l, 3, 1)
			crash(l, 4, 1)
			crash(l, 1, 1, 2, 3, 1, 1, 1, 1)
			c.now += time.Second
		}, 1, false},
		"the service fails": {func(l *hgsuspect.List, _ *clock) {
			crash(l, 2, 1)
			crash(l, 3, 1)
			crash(l, 4, 1)
			crash(l, 1, 1, 1, 1, 1)
		}, 1, true},
		"the service fails, another caller": {func(l *hgsuspect.List, _ *clock) {
			crash(l, 2, 1)
			crash(l, 3, 1)
			crash(l, 4, 1)
			crash(l, 1, 1, 1, 1, 1)
		}, 2, false},
		"most other requests complete": {func(l *hgsuspect.List, _ *clock) {
			for content := range uint64(8) {
				l.RecordCompletion(sent(10+content, 1))
			}
			crash(l, 2, 1)
			crash(l, 3, 1)
			crash(l, 4, 1)
			crash(l, 1, 1, 1, 1)
		}, 1, true},
		"few other requests crash": {func(l *hgsuspect.List, _ *clock) {
			crash(l, 2, 1)
			crash(l, 3, 1)
			crash(l, 1, 1, 1, 1)
		}, 1, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: time.Minute}
			l := hgsuspect.NewList(c, hglog.Discard())
			tc.do(l, c)
			if left, refused := l.Refused(sent(1, tc.caller)); refused != tc.refused {
				t.Errorf("refused %v for %v", refused, left)
			}
		})
	}
}

// Ends of replicas that break off many requests are no failing service: the crashes of a request that was among them, or that ends
// another replica just after, must not be excused.
func TestFewEndsAreNoFailingService(t *testing.T) {
	// end records that an end of a replica broke off requests with some contents, in that order.
	end := func(l *hgsuspect.List, c *clock, replica string, contents ...uint64) {
		for _, content := range contents {
			l.RecordCrash(sent(content, 1).WithRun(hgsuspect.Run{Replica: replica, Began: c.now - 100*time.Millisecond}))
		}
	}
	tests := map[string]struct {
		do      func(l *hgsuspect.List, c *clock)
		refused bool
	}{
		"others noticed first": {func(l *hgsuspect.List, c *clock) {
			for _, replica := range []string{"a", "b", "c"} {
				end(l, c, replica, 2, 3, 4, 5, 6, 1)
				c.now += 3 * time.Second
				for content := range uint64(5) {
					l.RecordCompletion(sent(2+content, 1))
				}
				c.now += 3 * time.Second
			}
		}, true},
		"another replica ends just before": {func(l *hgsuspect.List, c *clock) {
			for _, replica := range []string{"a", "b", "c"} {
				end(l, c, "other "+replica, 2, 3, 4, 5, 6)
				end(l, c, replica, 1)
				c.now += 3 * time.Second
			}
		}, true},
		"copies on three replicas at once": {func(l *hgsuspect.List, c *clock) {
			end(l, c, "a", 2, 3)
			end(l, c, "b", 4, 5)
			end(l, c, "c", 6, 7)
			end(l, c, "a", 1)
			end(l, c, "b", 1)
			end(l, c, "c", 1)
		}, true},
		"three other replicas end": {func(l *hgsuspect.List, c *clock) {
			for range 2 {
				for _, replica := range []string{"a", "b", "c"} {
					end(l, c, "other "+replica, 2, 3, 4, 5, 6)
				}
			}
			for _, replica := range []string{"a", "b", "c"} {
				end(l, c, replica, 1)
			}
			c.now += time.Second
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: time.Hour}
			l := hgsuspect.NewList(c, hglog.Discard())
			tt.do(l, c)
			if left, refused := l.Refused(sent(1, 1)); refused != tt.refused {
				t.Errorf("refused %v for %v", refused, left)
			}
		})
	}
}
