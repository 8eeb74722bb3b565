package hgsite_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

// Guards against kept turns that are refused with 402 after VMs were killed, though most of the program's budget can't be spent.
func TestKeptTurnAfterKills(t *testing.T) {
	const (
		turns = 6
		// recoverTime is the time after a kill in which the next turn may be refused; a 402 is final.
		recoverTime = 12 * time.Second
	)
	kill := func(t *testing.T, s *hgsite.Site, turn int) {
		s.Kill(turn % 3)
		restart(t, s, turn%3)
	}
	tests := map[string]func(t *testing.T, s *hgsite.Site, turn int){
		"the VM that ran the turn":  kill,
		"the VM that runs the next": func(t *testing.T, s *hgsite.Site, turn int) { kill(t, s, turn+1) },
		"all VMs at once":           func(t *testing.T, s *hgsite.Site, _ int) { restartAllAtOnce(t, s) },
	}
	for name, killAfter := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			previous := ""
			for turn := range turns {
				var reply hgsite.Reply
				q := hgsite.Turn(hgsite.ThreadPath, "p", previous, fmt.Sprint(turn, " "))
				// The budget holds the turns even if each is counted with its maximum.
				q.Budget = (turns + 1) * q.MaxTokensOut
				for began := time.Now(); ; time.Sleep(retryPause) {
					q.ID = hgsite.NewAttempt()
					if reply = call(t, s, turn%3, q); reply.Status == http.StatusOK || reply.Status == http.StatusPaymentRequired ||
						time.Since(began) > recoverTime {
						break
					}
				}
				if reply.Status != http.StatusOK || !reply.Complete {
					t.Fatalf("turn %d: status %d: %s", turn, reply.Status, reply.Body)
				}
				previous = q.ID
				killAfter(t, s, turn)
			}
		})
	}
}
