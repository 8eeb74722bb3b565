package hgretain

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgpreset"
)

// keeper returns a Keeper with program p, which has 500 tokens on endpoint e and has paused for a minute for tool "slow".
func keeper() *Keeper {
	p := hgpreset.Shipped()["peak"]
	p.HoldMs, p.SilenceMs = 30_000, 100_000
	k := NewKeeper(p)
	k.Ran("p", "e", 500, 0)
	k.Paused("p", "slow", 0)
	k.Resumed("p", time.Minute)
	return k
}

func TestOrders(t *testing.T) {
	order := func(endpoint, reason string) []Order {
		return []Order{{Program: "p", Endpoint: endpoint, Action: Release, Reason: reason}}
	}
	now := time.Minute
	tests := map[string]struct {
		event func(k *Keeper) []Order
		want  []Order
	}{
		"ended":                              {func(k *Keeper) []Order { return k.Ended("p") }, order("e", "ended")},
		"ended, evicted before":              {func(k *Keeper) []Order { k.Evicted("p", "e", 0); return k.Ended("p") }, nil},
		"moved":                              {func(k *Keeper) []Order { return k.Ran("p", "f", 600, now) }, order("e", "moved")},
		"silent":                             {func(k *Keeper) []Order { return k.Tick(now + 101*time.Second) }, order("e", "silent")},
		"not silent for long":                {func(k *Keeper) []Order { return k.Tick(now + 99*time.Second) }, nil},
		"long pause, memory is full":         {func(k *Keeper) []Order { k.SetMemoryUse("e", 0.95); return k.Paused("p", "slow", now) }, order("e", "longPause")},
		"long pause, memory is free":         {func(k *Keeper) []Order { k.SetMemoryUse("e", 0.5); return k.Paused("p", "slow", now) }, nil},
		"short pause, memory is full":        {func(k *Keeper) []Order { k.SetMemoryUse("e", 0.95); return k.Paused("p", "quick", now) }, nil},
		"found, program is gone":             {func(k *Keeper) []Order { return k.Found("p", "g", 9, false, false, now) }, order("g", "orphan")},
		"found on another endpoint":          {func(k *Keeper) []Order { return k.Found("p", "g", 9, true, false, now) }, order("g", "moved")},
		"found elsewhere after its eviction": {func(k *Keeper) []Order { k.Evicted("p", "e", 0); return k.Found("p", "g", 9, true, false, now) }, nil},
		"found while it runs there":          {func(k *Keeper) []Order { return k.Found("p", "g", 9, true, true, now) }, nil},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, tc.event(keeper())); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHome checks that evictions and the loss of an endpoint reduce a prefix's tokens but not the program's memory demand.
func TestHome(t *testing.T) {
	tests := map[string]struct {
		event func(k *Keeper)
		want  int
	}{
		"as it ran":         {func(*Keeper) {}, 500},
		"partly evicted":    {func(k *Keeper) { k.SetContents("e", map[string]int{"p": 200}) }, 200},
		"evicted":           {func(k *Keeper) { k.SetContents("e", nil) }, 0},
		"endpoint was lost": {func(k *Keeper) { k.EndpointLost("e") }, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			k := keeper()
			tc.event(k)
			endpoint, tokens, _ := k.Home("p")
			demand := map[string]int{}
			k.AddDemand(demand)
			if diff := cmp.Diff([]any{"e", tc.want, 500}, []any{endpoint, tokens, demand["e"]}); diff != "" {
				t.Errorf("endpoint, tokens and demand (-want +got):\n%s", diff)
			}
		})
	}
}
