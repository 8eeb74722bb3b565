package hgfresh_test

import (
	"testing"
	"time"

	"hyssopgrade/internal/state/hgfresh"
)

const (
	revoke = 5 * time.Second
	second = time.Second
)

// Guards against keys that are served on evidence that is missing, too old, or about another version than the one in force.
func TestFresh(t *testing.T) {
	var now time.Duration
	claim := func(version uint64, age time.Duration) hgfresh.Claim {
		return hgfresh.Claim{Version: version, Age: age, Known: true}
	}
	tests := map[string]struct {
		do   func(e *hgfresh.Evidence)
		want bool
	}{
		"restarted from nothing":              {func(*hgfresh.Evidence) {}, false},
		"store answers":                       {func(e *hgfresh.Evidence) { e.HandleAnswer(1, now) }, true},
		"store cut, peers vouch":              {func(e *hgfresh.Evidence) { e.HandleAnswer(1, 0); e.HandleReply(claim(1, second), now) }, true},
		"store and peers cut":                 {func(e *hgfresh.Evidence) { e.HandleAnswer(1, 0); e.HandleReply(claim(1, 0), second) }, false},
		"frozen for longer than the bound":    {func(e *hgfresh.Evidence) { e.HandleAnswer(1, now); now += 6 * second }, false},
		"poll answered after a freeze":        {func(e *hgfresh.Evidence) { sent := now; now += 6 * second; e.HandleAnswer(1, sent) }, false},
		"poll answered before it is applied":  {func(e *hgfresh.Evidence) { e.HandleAnswer(2, now) }, false},
		"poll answered after it is applied":   {func(e *hgfresh.Evidence) { e.Applied(2); e.HandleAnswer(2, now) }, true},
		"newest row cannot be decoded":        {func(e *hgfresh.Evidence) { e.HandleAnswer(1, 0); e.HandleAnswer(2, now) }, false},
		"copy of a peer by itself":            {func(e *hgfresh.Evidence) { e.Applied(2) }, false},
		"peer with a newer version":           {func(e *hgfresh.Evidence) { e.HandleReply(claim(2, 0), now) }, false},
		"peer with an older version":          {func(e *hgfresh.Evidence) { e.Applied(2); e.HandleReply(claim(1, 0), now) }, true},
		"peer without evidence":               {func(e *hgfresh.Evidence) { e.HandleReply(hgfresh.Claim{Version: 1}, now) }, false},
		"peer of an old build":                {func(e *hgfresh.Evidence) { e.HandleReply(hgfresh.Claim{}, now) }, false},
		"peer with a negative age":            {func(e *hgfresh.Evidence) { e.HandleReply(claim(1, -second), now) }, false},
		"reply delayed":                       {func(e *hgfresh.Evidence) { e.HandleReply(claim(1, second), now-4*second) }, false},
		"older evidence arrives later":        {func(e *hgfresh.Evidence) { e.HandleAnswer(1, now); e.HandleAnswer(1, 0) }, true},
		"margin for drift":                    {func(e *hgfresh.Evidence) { e.HandleAnswer(1, now-revoke+50*time.Millisecond) }, false},
		"evidence of the future":              {func(e *hgfresh.Evidence) { e.HandleAnswer(1, now+second) }, false},
		"clock went back, then store answers": {func(e *hgfresh.Evidence) { e.HandleAnswer(1, now); now -= second; e.HandleAnswer(1, now) }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now = 10 * second
			e := hgfresh.NewEvidence(func() time.Duration { return now }, revoke)
			e.Applied(1)
			if tt.do(e); e.Fresh() != tt.want {
				age, ok := e.Age()
				t.Errorf("fresh %t, want %t (age %v, known %t)", e.Fresh(), tt.want, age, ok)
			}
		})
	}
}

// Guards against a poll that the store holds until the evidence has expired, however short the bound is.
func TestHoldKeepsEvidence(t *testing.T) {
	for name, revoke := range map[string]time.Duration{"as agreed": 5 * second, "short": second, "long": time.Minute} {
		t.Run(name, func(t *testing.T) {
			now := second
			e := hgfresh.NewEvidence(func() time.Duration { return now }, revoke)
			e.Applied(1)
			if e.Hold() != 0 || e.PeersSuffice() {
				t.Errorf("without evidence: hold %v, peers suffice %t", e.Hold(), e.PeersSuffice())
			}
			e.HandleAnswer(1, now)
			for range 20 {
				sent := now
				now += e.Hold() + revoke/8
				if !e.Fresh() {
					t.Fatal("evidence expired during a poll")
				}
				e.HandleAnswer(1, sent)
			}
			e.HandleReply(e.Claim(), now)
			if !e.PeersSuffice() {
				t.Error("a reply of a peer does not suffice")
			}
			if now += e.Limit() / 2; e.PeersSuffice() {
				t.Error("the reply of a peer that has been silent still suffices")
			}
		})
	}
}
