package hgplacer_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
)

// Requests of late programs are served last. Among the others, programs in progress go before new ones, then urgent routes
// before others, then older requests before younger ones.
func TestQueueOrder(t *testing.T) {
	q := hgplacer.NewQueue()
	for id, rank := range map[string]hgplacer.Rank{
		"late":            {Late: true, Arrived: 1},
		"new":             {New: true, Arrived: 2},
		"under way":       {Priority: 1, Arrived: 4},
		"urgent":          {Arrived: 6},
		"urgent before":   {Arrived: 5},
		"urgent new":      {New: true, Arrived: 7},
		"new, not urgent": {New: true, Priority: 1, Arrived: 1},
		"withdrawn":       {},
	} {
		q.Push(hgplacer.Request{ID: id, Rank: rank})
	}
	if !q.Remove("withdrawn") || q.Remove("withdrawn") {
		t.Error("Remove does not report a queued request exactly once")
	}
	want := []string{"urgent before", "urgent", "under way", "new", "urgent new", "new, not urgent", "late"}
	var got []string
	for q.Len() > 0 {
		r, _, _ := q.Next(func(hgreplica.Want) (*hgreplica.Lease, bool) { return nil, true })
		got = append(got, r.ID)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

const slots = 2

func newPlacer(t *testing.T, replicas ...string) (*hgplacer.Placer, *hgreplica.Set) {
	t.Helper()
	timer := hgtimer.NewService()
	t.Cleanup(timer.Close)
	s := hgreplica.NewSet(timer, "north", func(time.Duration) *http.Client { return &http.Client{} })
	entries := map[string]hgreplica.Registration{}
	for _, id := range replicas {
		entries[id] = hgreplica.Registration{ID: id, Service: "s", Address: id + ":1", Domain: "north", Slots: slots}
	}
	s.Apply(entries, 0)
	return hgplacer.NewPlacer(s, timer), s
}

func ask(id string, wait time.Duration) hgplacer.PlaceRequest {
	return hgplacer.PlaceRequest{ID: id, Want: hgreplica.Want{Service: "s"}, Wait: wait, Left: wait}
}

// fill takes places until no more are granted, and returns their leases.
func fill(t *testing.T, p *hgplacer.Placer) (leases []*hgreplica.Lease) {
	t.Helper()
	for {
		l, v := p.Place(t.Context(), ask("fill", 20*time.Millisecond))
		if v != hgplacer.Granted {
			return leases
		}
		leases = append(leases, l)
	}
}

// A request waits while all replicas are at Window times their slots, and gets the place of the next request that ends.
func TestPlaceWaits(t *testing.T) {
	p, s := newPlacer(t, "a", "b")
	leases := fill(t, p)
	if n := s.InFlight(); n["a"] != n["b"] || n["a"] < slots {
		t.Fatalf("in flight %v", n)
	}
	tests := map[string]struct {
		end  func()
		want hgplacer.Verdict
	}{
		"none ends":      {func() {}, hgplacer.Expired},
		"one ends":       {leases[0].Release, hgplacer.Granted},
		"another leaves": {func() { p.Release("held", hgreplica.Outcome{Failed: true}) }, hgplacer.Granted},
	}
	p.Hold(ask("held", time.Minute), leases[1])
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			time.AfterFunc(30*time.Millisecond, tt.end)
			if _, v := p.Place(t.Context(), ask(name, 200*time.Millisecond)); v != tt.want {
				t.Errorf("verdict %s, want %s", v, tt.want)
			}
		})
	}
}

func TestPlaceRefuses(t *testing.T) {
	p, s := newPlacer(t, "a")
	if _, v := p.Place(t.Context(), hgplacer.PlaceRequest{ID: "x", Want: hgreplica.Want{Service: "other"}, Wait: time.Second}); v != hgplacer.NoReplica {
		t.Errorf("no replica: %s", v)
	}
	first := ask("first", 20*time.Millisecond)
	first.Rank.New, first.Rank.Priority = true, 1
	if _, v := p.Place(t.Context(), first); v != hgplacer.Granted {
		t.Errorf("new program while replicas are idle: %s", v)
	}
	fill(t, p)
	for _, priority := range []int{0, 1} {
		first.Rank.Priority = priority
		began := time.Now()
		if _, v := p.Place(t.Context(), first); v != hgplacer.Full || time.Since(began) > 15*time.Millisecond {
			t.Errorf("new program of priority %d while replicas are full: %s after %v", priority, v, time.Since(began))
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, v := p.Place(ctx, ask("left", time.Minute)); v != hgplacer.Expired {
		t.Errorf("caller that left: %s", v)
	}
	s.Apply(map[string]hgreplica.Registration{"b": {ID: "b", Service: "s", Domain: "north", Slots: slots}}, 0)
	if _, v := p.Place(t.Context(), ask("later", time.Minute)); v != hgplacer.Granted {
		t.Errorf("a new replica: %s", v)
	}
}

// A node that fails never releases the places that it holds; each is freed once its request must have ended.
func TestOverdue(t *testing.T) {
	p, s := newPlacer(t, "a")
	l, _ := p.Place(t.Context(), ask("gone", time.Second))
	p.Hold(hgplacer.PlaceRequest{ID: "gone", Left: 10 * time.Millisecond}, l)
	for deadline := time.Now().Add(3 * time.Second); len(s.InFlight()) > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("still held: %v", s.InFlight())
		}
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, replicas := range []int{48, 200, 1700} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			timer := hgtimer.NewService()
			defer timer.Close()
			s := hgreplica.NewSet(timer, "north", func(time.Duration) *http.Client { return &http.Client{} })
			entries := map[string]hgreplica.Registration{}
			for i := range replicas {
				id := fmt.Sprint(i)
				entries[id] = hgreplica.Registration{ID: id, Service: "s", Address: id, Domain: "north", Slots: 8}
			}
			s.Apply(entries, 0)
			p := hgplacer.NewPlacer(s, timer)
			a := ask("a", time.Second)
			a.Want.Prompt, a.Want.Kept = 2000, map[string]int{"1": 1500, "2": 800}
			a.Want.Fetch = hgreplica.FetchCost{Setup: time.Millisecond, PerToken: time.Microsecond}
			for b.Loop() {
				l, v := p.Place(b.Context(), a)
				if v != hgplacer.Granted {
					b.Fatal(v)
				}
				l.Release()
			}
		})
	}
}

// A place that is granted while its caller leaves is not leaked: Place either returns the lease or gives the place back.
func TestPlaceOfCallerThatLeaves(t *testing.T) {
	p, s := newPlacer(t, "a")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		if l, v := p.Place(ctx, ask("gone", time.Minute)); v == hgplacer.Granted {
			l.Release()
		}
	}
	if n := s.InFlight(); len(n) > 0 {
		t.Errorf("still held: %v", n)
	}
}
