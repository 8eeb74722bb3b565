package hgsuspect_test

import (
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
		"two breaks": {func(l *hgsuspect.List, _ *clock) { l.Broke(1); l.Broke(1) }, false},
		"three":      {func(l *hgsuspect.List, _ *clock) { l.Broke(1); l.Broke(1); l.Broke(1) }, true},
		"of others":  {func(l *hgsuspect.List, _ *clock) { l.Broke(1); l.Broke(2); l.Broke(3) }, false},
		"cleared":    {func(l *hgsuspect.List, _ *clock) { l.Broke(1); l.Broke(1); l.Ended(1); l.Broke(1) }, false},
		"over some minutes": {func(l *hgsuspect.List, c *clock) {
			l.Broke(1)
			l.Broke(1)
			c.now += 10 * time.Minute
			l.Broke(1)
		}, true},
		"long ago": {func(l *hgsuspect.List, c *clock) {
			l.Broke(1)
			l.Broke(1)
			c.now += 2 * time.Hour
			l.Broke(1)
		}, false},
		"a try after a minute": {func(l *hgsuspect.List, c *clock) {
			l.Broke(1)
			l.Broke(1)
			l.Broke(1)
			c.now += 2 * time.Minute
		}, false},
		"no second one soon": {func(l *hgsuspect.List, c *clock) {
			l.Broke(1)
			l.Broke(1)
			l.Broke(1)
			c.now += 2 * time.Minute
			l.Broke(1)
			c.now += 2 * time.Minute
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: time.Minute}
			l := hgsuspect.NewList(c, hglog.Discard())
			tt.do(l, c)
			if _, refused := l.Refused(1); refused != tt.refused {
				t.Errorf("refused %v", refused)
			}
		})
	}
}
