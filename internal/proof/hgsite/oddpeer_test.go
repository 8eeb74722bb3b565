package hgsite_test

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
	"hyssopgrade/internal/serve/hgsuspect"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgturn"
)

// Guards against bytes on the port for peers that end a VM or keep it from serving.
func TestOddBytesFromPeers(t *testing.T) {
	s := newSite(t, 2)
	for name, data := range map[string]string{
		"nothing":           "",
		"HTTP":              "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"zeros":             strings.Repeat("\x00", 10_000),
		"ones":              strings.Repeat("\xff", 10_000),
		"length of 1 GB":    "\xfc\x3f\xff\xff\xff" + "xxxx",
		"length of 16 EB":   "\xf8\xff\xff\xff\xff\xff\xff\xff\xff",
		"type defines type": "\x1f\xff\x81\x03\x01\x01\x07Request\x01\xff\x82\x00",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", s.Configs[0].Listen.Peer)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, data) // the VM may close the connection before it has read all
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			_, _ = io.Copy(io.Discard, conn)
			if reply := callWithin(t, s, charge(0), answerLimit); reply.Status != http.StatusOK {
				t.Errorf("status %d afterwards", reply.Status)
			}
		})
	}
}

// Guards against a message of a peer that ends the VM: net/rpc handles each in a goroutine of its own, where a panic ends the process.
func TestOddMessagesFromPeers(t *testing.T) {
	s := newSite(t, 2)
	client := hgpeer.NewClient(nil)
	peer := s.Configs[0].Listen.Peer
	long := strings.Repeat("x", 1<<20)
	parts := []hgattempt.Part{{}, {ID: long, Tokens: math.MaxInt}, {ID: "a", Tokens: math.MinInt}}
	ints := map[string]int{"": math.MinInt, "engine-0": math.MaxInt, "engine-1": math.MinInt, long: -1}
	info := hgpeer.Info{Name: "odd", Boot: long, Peer: "::::", Public: "\r\n", Domain: "\x00", Started: math.MaxInt64, Revision: math.MaxUint64, Power: math.NaN(), Ready: true}
	record := hgsuspect.Record{Digest: math.MaxUint64, Breaks: []hgsuspect.Crash{{ID: 1, Age: math.MinInt64}, {ID: 2, Age: math.MaxInt64}}, Proof: hgsuspect.Proof{Seq: math.MaxUint64, Age: math.MinInt64}}
	turn := &hgturn.Turn{ID: "a", Previous: "a", Input: []byte(long)}
	want := hgreplica.Want{Service: hgsite.Engines, Prompt: math.MinInt, Kept: ints, Far: math.MinInt64, Window: math.NaN(), Fetch: hgreplica.FetchCost{Setup: math.MinInt64, PerToken: 1, Charge: math.MaxInt64}}
	cursors := hgpeer.Cursor{Run: math.MaxUint64, Claims: math.MaxUint64, Programs: math.MaxUint64}
	for name, send := range map[string]func(ctx context.Context) error{
		"empty heartbeat": func(ctx context.Context) error { _, err := client.Beat(ctx, peer, hgpeer.Beat{}); return err },
		"heartbeat": func(ctx context.Context) error {
			_, err := client.Beat(ctx, peer, hgpeer.Beat{
				Info: info, Changed: map[string]uint64{"servers": math.MaxUint64, "": 1}, InFlight: ints, Programs: []uint64{0, math.MaxUint64},
				Leaving: []hgreplica.Incarnation{{}, {ID: long, Born: long}, {ID: "engine-0"}}, Suspects: hgsuspect.Exchange{Records: []hgsuspect.Record{{}, record, record}},
				Ask: hgpeer.GossipQuery{Known: cursors, Loads: true}, News: &hgpeer.GossipUpdate{Now: cursors, Claims: []hgpeer.Claim{{Info: info, Live: true}, {}}, InFlight: ints},
			})
			return err
		},
		"empty turn": func(ctx context.Context) error { _, err := client.Open(ctx, peer, hgledger.OpenRequest{}); return err },
		"turn": func(ctx context.Context) error {
			_, err := client.Open(ctx, peer, hgledger.OpenRequest{
				Program: "odd/\x00", Attempt: long, Previous: long, Budget: math.MaxInt, Most: math.MinInt, HasBudget: true, Estimate: math.MinInt, Prompt: parts, Extendable: true,
			})
			return err
		},
		"turn of the greatest size": func(ctx context.Context) error {
			_, err := client.Open(ctx, peer, hgledger.OpenRequest{Program: "odd", Attempt: "b", Budget: math.MinInt, Most: math.MaxInt, HasBudget: true, Prompt: parts})
			return err
		},
		"turn without the store": func(ctx context.Context) error {
			_, err := client.Open(ctx, peer, hgledger.OpenRequest{Program: "odd", Attempt: "c", Budget: math.MaxInt, Most: -1, HasBudget: true, Offline: true, Estimate: -1, Extendable: true})
			return err
		},
		"empty end of a turn": func(ctx context.Context) error { return client.Close(ctx, peer, hgledger.CloseRequest{}) },
		"end of a turn": func(ctx context.Context) error {
			return client.Close(ctx, peer, hgledger.CloseRequest{Program: "odd", Attempt: "a", Used: math.MinInt, Replica: long, Prompt: parts, Turn: turn})
		},
		"turn that continues itself": func(ctx context.Context) error {
			_, err := client.Open(ctx, peer, hgledger.OpenRequest{Program: "odd", Attempt: "d", Previous: "a"})
			return err
		},
		"extension": func(ctx context.Context) error {
			_, err := client.Extend(ctx, peer, hgledger.ExtendRequest{Program: "odd", Attempt: "none", Budget: math.MinInt, Tokens: math.MaxInt})
			return err
		},
		"copy": func(ctx context.Context) error {
			_, err := client.Copy(ctx, peer, hgledger.Copy{Program: "odd", Taken: math.MinInt})
			return err
		},
		"share": func(ctx context.Context) error {
			_, err := client.Part(ctx, peer, hgledger.SoleRequest{Program: long})
			return err
		},
		"seen":          func(ctx context.Context) error { _, err := client.Seen(ctx, peer); return err },
		"unknown table": func(ctx context.Context) error { _, err := client.Table(ctx, peer, long); return err },
		"empty place": func(ctx context.Context) error {
			_, err := client.Place(ctx, peer, hgplacer.PlaceRequest{})
			return err
		},
		"place": func(ctx context.Context) error {
			_, err := client.Place(ctx, peer, hgplacer.PlaceRequest{ID: "p", Want: want, Wait: math.MaxInt64, Left: math.MinInt64, Rank: hgplacer.Rank{Priority: math.MinInt, Arrived: math.MinInt64}})
			return err
		},
		"release of no place": func(ctx context.Context) error {
			return client.Leave(ctx, peer, hgpeer.LeaveRequest{ID: long, Outcome: hgreplica.Outcome{Answered: true, Took: math.MinInt64, Held: math.MaxInt64}})
		},
		"release of a place": func(ctx context.Context) error {
			return client.Leave(ctx, peer, hgpeer.LeaveRequest{ID: "p", Outcome: hgreplica.Outcome{Answered: true, Took: math.MinInt64, Held: math.MaxInt64}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			t.Log(send(ctx)) // an error is as good as an answer
			for node := range s.Nodes {
				reply := call(t, s, node, hgsite.Turn(hgsite.ThreadPath, fmt.Sprint("after ", name, node), "", "x"))
				if reply.Status != http.StatusOK {
					t.Errorf("VM %d: status %d afterwards: %s", node, reply.Status, reply.Body)
				}
			}
		})
	}
}

// Guards against two requests for places under one identifier, which blocked the placer for good.
func TestPlacesUnderOneIdentifier(t *testing.T) {
	s := newSite(t, 2)
	client := hgpeer.NewClient(nil)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	const places = 100
	done := make(chan error, places)
	for range places {
		go func() {
			_, err := client.Place(ctx, s.Configs[0].Listen.Peer, hgplacer.PlaceRequest{ID: "one", Want: hgreplica.Want{Service: hgsite.Engines}, Wait: 200 * time.Millisecond, Left: time.Second})
			done <- err
		}()
	}
	for range places {
		if err := <-done; err != nil {
			t.Fatalf("no answer of the placer: %v", err)
		}
	}
	time.Sleep(2500 * time.Millisecond) // The places that nobody releases are overdue by then.
	for node := range s.Nodes {
		wantStream(t, call(t, s, node, hgsite.Turn(hgsite.ChatPath, fmt.Sprint("one ", node), "", "x")))
	}
}
