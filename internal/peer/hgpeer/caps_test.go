package hgpeer_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgcap"
	"hyssopgrade/internal/serve/hgteam"
)

// capNode is a node that answers calls about usage caps only.
type capNode struct {
	hgpeer.Handler
	caps    *hgpeer.Caps
	members *hgpeer.Members
	ended   net.Listener
}

func (n *capNode) Cap(q hgpeer.CapRequest) hgpeer.CapReply {
	return n.caps.HandleCap(context.Background(), q)
}

type discard struct{}

func (discard) Count(string) {}

func newCapNode(t *testing.T, name string, timer hgtimer.Timer) *capNode {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	self := info(name, "north")
	self.Peer, self.Boot, self.Ready = l.Addr().String(), name, true
	b := hgcap.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	n := &capNode{members: hgpeer.NewMembers(timer, self), ended: l}
	none := func(string) (c hgteam.Cap, ok bool) { return c, false }
	n.caps = hgpeer.NewCaps(hgcap.NewOwner(timer, b, name, false, nil), hgcap.NewLeases(timer, b), n.members, hgpeer.NewClient(nil), discard{}, false, none)
	go func() { _ = hgpeer.Serve(l, n, hgpeer.Bounds{}) }()
	return n
}

// Guards against refusals when the owner of a team ends, and when a node joins that takes over teams, for requests below the cap.
func TestOwnersOfTeamsChange(t *testing.T) {
	timer := hgtimer.NewService()
	defer timer.Close()
	nodes := []*capNode{newCapNode(t, "a", timer), newCapNode(t, "b", timer), newCapNode(t, "c", timer)}
	meet := func(nodes ...*capNode) {
		for _, n := range nodes {
			for _, p := range nodes {
				n.members.HandleReply(hgpeer.Beat{Info: p.members.Self()})
			}
			n.caps.Tick(0)
		}
	}
	take := func(n *capNode, when string) {
		t.Helper()
		for i := range 20 {
			q := hgcap.Request{Team: hgteam.Team{Name: fmt.Sprint("team", i), Cap: hgteam.Cap{Rate: 100, Burst: 100}}}
			if r := n.caps.Take(t.Context(), q); r.Verdict != hgcap.Granted {
				t.Errorf("%s, team %d: verdict %s", when, i, r.Verdict)
			}
		}
	}
	meet(nodes[:2]...)
	take(nodes[0], "two nodes")
	meet(nodes...)
	take(nodes[0], "third node")
	take(nodes[2], "third node itself")
	nodes[1].ended.Close()
	take(nodes[0], "second node gone")
	take(nodes[2], "second node gone, at the third")
}
