package hgpreset

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgstore"
)

func TestShippedPresets(t *testing.T) {
	if diff := cmp.Diff([]string{"maintenance", "ordinary", "peak"}, Names(Shipped())); diff != "" {
		t.Errorf("names (-want +got):\n%s", diff)
	}
}

func TestBadPresets(t *testing.T) {
	data, err := shipped.ReadFile("presets/peak.toml")
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct{ old, new, want string }{
		"unknown key":    {"window =", "windows =", `unknown key "windows"`},
		"out of range":   {"window = 24", "window = 100", "window 100: want 4 to 64"},
		"unknown policy": {`"score"`, `"luck"`, `routePolicy "luck": want one of score`},
		"no name":        {`"peak"`, `""`, `name ""`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(strings.Replace(string(data), tc.old, tc.new, 1))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v does not contain %q", err, tc.want)
			}
		})
	}
}

// checkTimeout limits the time in which porcupine checks one history.
const checkTimeout = 10 * time.Second

// choice is the input of an operation on the row of the preset in force: a choice by an operator, or a read.
type choice struct {
	by   string
	read bool
}

// seen is the outcome of an operation: the version that was accepted or read, or that another choice won.
type seen struct {
	number uint64
	by     string
	taken  bool
}

// register is the sequential model of the row.
var register = porcupine.Model{
	Init: func() any { return seen{} },
	Step: func(state, input, output any) (bool, any) {
		st, in, out := state.(seen), input.(choice), output.(seen)
		switch {
		case in.read:
			return out.number == st.number && out.by == st.by, st
		case out.taken:
			return true, st
		}
		next := seen{number: st.number + 1, by: in.by}
		return out == next, next
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// TestChoicesAreLinearizable runs concurrent choices and reads while the store loses replies and goes down. A choice that is sent
// again after a lost reply and accepted twice, or one that is lost, would break linearizability.
func TestChoicesAreLinearizable(t *testing.T) {
	for round := range 20 {
		synctest.Test(t, func(t *testing.T) {
			store := hgstore.NewMemory()
			var mu sync.Mutex
			var history []porcupine.Operation
			var clock atomic.Int64
			note := func(client int, in choice, fn func() seen) {
				began := clock.Add(1)
				out := fn()
				mu.Lock()
				defer mu.Unlock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: in, Output: out, Call: began, Return: clock.Add(1),
				})
			}
			var wg sync.WaitGroup
			for client := range 4 {
				wg.Go(func() {
					for i := range 6 {
						by := fmt.Sprintf("%d-%d", client, i)
						note(client, choice{by: by}, func() seen { return choose(t, store, by) })
						note(client, choice{read: true}, func() seen { return read(t, store) })
					}
				})
			}
			for i := range 30 {
				store.SetFault(hgstore.Fault{LoseReplies: (i + round) % 3, Down: (i+round)%7 == 0, DelayMs: (i * round) % 9})
				time.Sleep(40 * time.Millisecond)
			}
			store.SetFault(hgstore.Fault{})
			wg.Wait()
			if res := porcupine.CheckOperationsTimeout(register, history, checkTimeout); res != porcupine.Ok {
				t.Errorf("round %d: history is %s: %+v", round, res, history)
			}
		})
	}
}

func choose(t *testing.T, store hgstore.Table, by string) seen {
	for {
		v, err := Choose(t.Context(), store, Version{}, Shipped()["peak"], by)
		var taken *ConflictError
		switch {
		case errors.As(err, &taken):
			return seen{taken: true}
		case err == nil:
			return seen{number: v.Number, by: v.By}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func read(t *testing.T, store hgstore.Table) seen {
	for {
		v, _, err := Load(t.Context(), store, Version{})
		if err == nil {
			return seen{number: v.Number, by: v.By}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestGate(t *testing.T) {
	const bound = 8 * time.Second
	v := func(n uint64) Version { return Version{Number: n} }
	tests := map[string]struct {
		events  func(g *Gate)
		at      time.Duration
		open    bool
		applied uint64
	}{
		"never confirmed":              {func(*Gate) {}, 0, false, 1},
		"read from the store":          {func(g *Gate) { g.RecordRead(v(2), time.Second) }, 9 * time.Second, true, 2},
		"bound has passed":             {func(g *Gate) { g.RecordRead(v(2), time.Second) }, 9*time.Second + 1, false, 2},
		"an older row does not revert": {func(g *Gate) { g.RecordRead(v(3), 0); g.RecordRead(v(2), time.Second) }, 0, true, 3},
		"peer confirms with its age":   {func(g *Gate) { g.RecordPeer("b", PeerStatus{Number: 1, Age: 2 * time.Second}, 10*time.Second) }, 16 * time.Second, true, 1},
		"peer's age counts":            {func(g *Gate) { g.RecordPeer("b", PeerStatus{Number: 1, Age: 2 * time.Second}, 10*time.Second) }, 16*time.Second + 1, false, 1},
		"newer peer confirms nothing":  {func(g *Gate) { g.RecordPeer("b", PeerStatus{Number: 2}, 10*time.Second) }, 10 * time.Second, false, 1},
		"store out of reach for all": {func(g *Gate) {
			g.RecordRead(v(1), 0)
			g.SetMembers([]string{"b", "c"})
			g.RecordReadFailure()
			g.RecordPeer("b", PeerStatus{Number: 1, Age: time.Hour, StoreFailing: true}, 60*time.Second)
			g.RecordPeer("c", PeerStatus{Number: 1, Age: time.Hour, StoreFailing: true}, 60*time.Second)
		}, 61 * time.Second, true, 1},
		"a member reaches the store": {func(g *Gate) {
			g.RecordRead(v(1), 0)
			g.SetMembers([]string{"b", "c"})
			g.RecordReadFailure()
			g.RecordPeer("b", PeerStatus{Number: 1, Age: time.Hour, StoreFailing: true}, 60*time.Second)
			g.RecordPeer("c", PeerStatus{Number: 1, Age: time.Hour}, 60*time.Second)
		}, 61 * time.Second, false, 1},
		"a member is silent": {func(g *Gate) {
			g.RecordRead(v(1), 0)
			g.SetMembers([]string{"b", "c"})
			g.RecordReadFailure()
			g.RecordPeer("b", PeerStatus{Number: 1, Age: time.Hour, StoreFailing: true}, 60*time.Second)
		}, 61 * time.Second, false, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewGate(v(1), bound)
			tc.events(g)
			if diff := cmp.Diff([]any{tc.open, tc.applied}, []any{g.Open(tc.at), g.Applied().Number}); diff != "" {
				t.Errorf("open and applied (-want +got):\n%s", diff)
			}
		})
	}
}
