package hgpeer_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
	"hyssopgrade/internal/state/hgledger"
)

// A placer that accepts connections but answers no call, with a fresh last heartbeat, must delay no request for long. The node
// selects a replica itself and suspects the placer.
func TestSilentPlacer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	timer := hgtimer.NewService()
	defer timer.Close()
	set := hgreplica.NewSet(timer, "north", func(time.Duration) *http.Client { return &http.Client{} })
	set.Apply(map[string]hgreplica.Registration{"r": {ID: "r", Service: "s", Address: "r:1", Domain: "north", Slots: 4}}, 0)
	self, placer := info("b", "north"), info("a", "north")
	placer.Peer = l.Addr().String()
	m := hgpeer.NewMembers(timer, self)
	m.HandleReply(hgpeer.Beat{Info: placer})
	if got, isSelf := m.Placer(); isSelf || got.Name != "a" {
		t.Fatalf("placer %q", got.Name)
	}
	places := hgpeer.NewPlaces(hgplacer.NewPlacer(set, timer), set, m, hgpeer.NewClient(nil), hglog.Discard())
	began := time.Now()
	lease, v := places.Take(t.Context(), hgplacer.PlaceRequest{ID: "x", Want: hgreplica.Want{Service: "s"}, Wait: 2 * time.Second, Left: 2 * time.Second})
	if v != hgplacer.Granted || lease.ID != "r" {
		t.Fatalf("verdict %s", v)
	}
	if took := time.Since(began); took > 250*time.Millisecond {
		t.Errorf("took %v, want 250 ms at most", took)
	}
	if _, isSelf := m.Placer(); !isSelf {
		t.Error("the silent placer is not suspected, so that the next request waits for it again")
	}
}

// A caller that disconnects cancels the call to the placer, or to the node that opened its turn. That must not make the peer a
// suspect.
func TestCallerLeavesPlacer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	timer := hgtimer.NewService()
	defer timer.Close()
	set := hgreplica.NewSet(timer, "north", func(time.Duration) *http.Client { return &http.Client{} })
	placer := info("a", "north")
	placer.Peer = l.Addr().String()
	m := hgpeer.NewMembers(timer, info("b", "north"))
	m.HandleReply(hgpeer.Beat{Info: placer})
	client := hgpeer.NewClient(nil)
	tests := map[string]func(ctx context.Context){
		"place": func(ctx context.Context) {
			hgpeer.NewPlaces(hgplacer.NewPlacer(set, timer), set, m, client, hglog.Discard()).Take(ctx, hgplacer.PlaceRequest{ID: "x", Wait: time.Second})
		},
		"turn": func(ctx context.Context) {
			hgpeer.NewPrograms(hgledger.NewLedger("b", hgstore.NewMemory(), timer, hglog.Discard()), m, client, hglog.Discard()).
				Close(ctx, placer, hgledger.CloseRequest{Program: "p", Attempt: "x"})
		},
	}
	for name, do := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
			defer cancel()
			do(ctx)
			time.Sleep(20 * time.Millisecond)
			if _, isSelf := m.Placer(); isSelf {
				t.Error("the peer is suspected after its caller has left")
			}
		})
	}
}

// A faulty caller may send two requests with the same identifier. Each must get a place, and neither may block the other.
func TestSameAttemptTwice(t *testing.T) {
	timer := hgtimer.NewService()
	defer timer.Close()
	set := hgreplica.NewSet(timer, "north", func(time.Duration) *http.Client { return &http.Client{} })
	m := hgpeer.NewMembers(timer, info("a", "north"))
	places := hgpeer.NewPlaces(hgplacer.NewPlacer(set, timer), set, m, hgpeer.NewClient(nil), hglog.Discard())
	set.Apply(map[string]hgreplica.Registration{"r": {ID: "r", Service: "s", Domain: "north", Slots: 1}}, 0)
	var leases []*hgreplica.Lease
	for range hgplacer.Window {
		l, _ := places.Take(t.Context(), hgplacer.PlaceRequest{ID: "fill", Want: hgreplica.Want{Service: "s"}, Wait: time.Second})
		leases = append(leases, l)
	}
	granted := make(chan hgplacer.Verdict, 2)
	for range 2 {
		go func() {
			_, v := places.Take(context.Background(), hgplacer.PlaceRequest{ID: "same", Want: hgreplica.Want{Service: "s"}, Wait: time.Second})
			granted <- v
		}()
	}
	time.Sleep(50 * time.Millisecond)
	for _, l := range leases {
		go l.Release()
	}
	for range 2 {
		select {
		case v := <-granted:
			if v != hgplacer.Granted {
				t.Errorf("verdict %s", v)
			}
		case <-time.After(2 * time.Second):
			t.Fatal("no place within 2s")
		}
	}
}
