package hgsuspect_test

import (
	"testing"
	"time"

	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/serve/hgsuspect"
)

// sent is a request of a caller, all for one service.
func sent(content, caller uint64) hgsuspect.Request {
	return hgsuspect.Request{Content: content, Caller: content*1000 + caller, Service: "tools"}
}

func TestSharedRequestsAndFailingServices(t *testing.T) {
	// breaks has callers send a content that breaks a replica off each time.
	breaks := func(l *hgsuspect.List, content uint64, callers ...uint64) {
		for _, caller := range callers {
			l.Broke(sent(content, caller))
		}
	}
	tests := map[string]struct {
		do func(l *hgsuspect.List, c *clock)
		// ask is refused or not, by a caller of content 1.
		caller  uint64
		refused bool
	}{
		"one caller":      {func(l *hgsuspect.List, _ *clock) { breaks(l, 1, 1, 1, 1) }, 1, true},
		"under new names": {func(l *hgsuspect.List, _ *clock) { breaks(l, 1, 1, 2, 3) }, 4, true},
		"others end it": {func(l *hgsuspect.List, c *clock) {
			breaks(l, 1, 1, 2, 3)
			c.now += time.Second
			l.Ended(sent(1, 4))
		}, 5, false},
		"others end it, its own caller never": {func(l *hgsuspect.List, c *clock) {
			breaks(l, 1, 1, 1, 1)
			c.now += time.Second
			l.Ended(sent(1, 4))
		}, 1, true},
		"others end it now and then": {func(l *hgsuspect.List, c *clock) {
			for range 20 {
				breaks(l, 1, 2, 3, 4, 5)
				l.Ended(sent(1, 6))
				c.now += time.Second
			}
			breaks(l, 1, 2, 3, 4, 5)
		}, 7, false},
		"the service fails and is sound again": {func(l *hgsuspect.List, c *clock) {
			breaks(l, 2, 1)
			breaks(l, 3, 1)
			breaks(l, 4, 1)
			breaks(l, 1, 1, 2, 3, 1, 1, 1, 1)
			c.now += time.Second
		}, 1, false},
		"the service fails": {func(l *hgsuspect.List, _ *clock) {
			breaks(l, 2, 1)
			breaks(l, 3, 1)
			breaks(l, 4, 1)
			breaks(l, 1, 1, 1, 1, 1)
		}, 1, true},
		"the service fails, another caller": {func(l *hgsuspect.List, _ *clock) {
			breaks(l, 2, 1)
			breaks(l, 3, 1)
			breaks(l, 4, 1)
			breaks(l, 1, 1, 1, 1, 1)
		}, 2, false},
		"most of the service is sound": {func(l *hgsuspect.List, _ *clock) {
			for content := range uint64(8) {
				l.Ended(sent(10+content, 1))
			}
			breaks(l, 2, 1)
			breaks(l, 3, 1)
			breaks(l, 4, 1)
			breaks(l, 1, 1, 1, 1)
		}, 1, true},
		"few others break off": {func(l *hgsuspect.List, _ *clock) {
			breaks(l, 2, 1)
			breaks(l, 3, 1)
			breaks(l, 1, 1, 1, 1)
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
