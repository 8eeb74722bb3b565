package hgsite_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/state/hgledger"
)

// Guards against stops that last the whole grace time because an entry VM crashed during a turn. What it reserved must not be granted
// again, and the turns of a VM that only does not answer are still waited for.
func TestStopDoesNotWaitForTurnsOfCrashedVM(t *testing.T) {
	const (
		most = 100
		// maxTurns is what is left of a budget of three turns beside the two reservations, with the one turn that may exceed it.
		budget, reserved, maxTurns = 3 * most, 2, 2
		// longStop is shorter than the grace time and longer than a stop without turns.
		longStop = 5 * time.Second
	)
	tests := map[string]struct{ answers, waits bool }{
		"crashed":         {},
		"does not answer": {answers: true, waits: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 3)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			if !tt.answers {
				l.Close()
			}
			c := hgpeer.NewClient(nil)
			open := func(node int, attempt string) hgledger.Verdict {
				t.Helper()
				reply, err := c.Open(context.Background(), s.Configs[node].Listen.Peer, hgledger.OpenRequest{
					Program: "p", Attempt: attempt, Budget: budget, Most: most, HasBudget: true,
					Opener: hgledger.Opener{Boot: "vm-9/1", Address: l.Addr().String()},
				})
				if err != nil {
					t.Fatal(err)
				}
				return reply.Verdict
			}
			for i := range reserved {
				if v := open(1, fmt.Sprint("reserved-", i)); v != hgledger.Granted {
					t.Fatalf("turn is %s", v)
				}
			}
			began := time.Now()
			s.Nodes[1].Stop()
			if took := time.Since(began); (took > longStop) != tt.waits {
				t.Errorf("stop took %v, waits: %v", took, tt.waits)
			}
			turns := 0
			for open(0, fmt.Sprint("later-", turns)) == hgledger.Granted {
				turns++
			}
			if turns > maxTurns {
				t.Errorf("%d more turns of %d tokens for a budget of %d, want %d at most", turns, most, budget, maxTurns)
			}
		})
	}
}
