package hgpeer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/state/hgledger"
)

// A peer whose process has ended holds up no new program, as no turn of it is served there. One that accepts connections
// without an answer does, as it may be frozen or cut off and go on later.
func TestAskPeerThatHasEnded(t *testing.T) {
	tests := map[string]struct {
		ended bool
		want  int
	}{
		"process has ended": {true, 0},
		"no answer":         {false, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			address := l.Addr().String()
			if tt.ended {
				l.Close()
			}
			timer := &clock{now: time.Minute}
			m := hgpeer.NewMembers(timer, hgpeer.Info{Name: "self", Domain: "north"})
			timer.now += time.Minute
			m.HandleReply(hgpeer.Beat{Info: hgpeer.Info{Name: "peer", Boot: "peer/1", Peer: address, Domain: "north", Stopping: true}})
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			a := hgpeer.NewBackup(m, hgpeer.NewClient(nil)).Ask(ctx, hgledger.SoleRequest{Program: "p", New: true})
			if diff := cmp.Diff(tt.want, a.Unanswered); diff != "" {
				t.Errorf("unanswered (-want +got):\n%s", diff)
			}
		})
	}
}
