package hgpeer_test

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/peer/hgpeer"
)

// clock is a timer whose time the test sets.
type clock struct {
	hgtimer.Timer
	now time.Duration
}

func (c *clock) Now() time.Duration { return c.now }

func info(name, domain string) hgpeer.Info {
	return hgpeer.Info{Name: name, Boot: "1", Domain: domain, StoreOK: true, Ready: true}
}

// stopped returns the Info of a node that has announced its stop.
func stopped(name, domain string) hgpeer.Info {
	i := info(name, domain)
	i.Stopping, i.Revision = true, 1
	return i
}

func names(peers []hgpeer.Info) []string {
	all := lo.Map(peers, func(i hgpeer.Info, _ int) string { return i.Name })
	sort.Strings(all)
	return all
}

// A peer that is silent behind a network partition may still serve callers. It must leave the live peers soon, but stay a
// possible participant until the timeout unless it has announced its stop.
func TestMembers(t *testing.T) {
	c := &clock{now: time.Minute}
	m := hgpeer.NewMembers(c, info("a", "north"))
	m.SetRegistered([]hgpeer.Info{info("b", "north"), info("c", "south")})
	steps := []struct {
		name               string
		at                 time.Duration
		do                 func()
		live, participants []string
	}{
		{"only named", 0, func() {}, []string{}, []string{"b", "c"}},
		{"both answer", 100 * time.Millisecond, func() {
			m.HandleReply(hgpeer.Beat{Info: info("b", "north")})
			m.HandleReply(hgpeer.Beat{Info: info("c", "south")})
		}, []string{"b", "c"}, []string{"b", "c"}},
		{"suspected", 200 * time.Millisecond, func() { m.Suspect("b") }, []string{"c"}, []string{"b", "c"}},
		{"near one silent", 1500 * time.Millisecond, func() {}, []string{"c"}, []string{"b", "c"}},
		{"both silent, as in a cut", 4 * time.Second, func() {}, []string{}, []string{"b", "c"}},
		{"restarted", 4200 * time.Millisecond, func() { m.HandleReply(hgpeer.Beat{Info: info("b", "north")}) }, []string{"b"}, []string{"b", "c"}},
		{"one stops", 4400 * time.Millisecond, func() {
			m.HandleReply(hgpeer.Beat{Info: stopped("b", "north")})
			m.HandleReply(hgpeer.Beat{Info: info("c", "south")})
		}, []string{"b", "c"}, []string{"b", "c"}},
		{"it has stopped, the other one is silent", 7500 * time.Millisecond, func() {}, []string{}, []string{"c"}},
		{"silent for long", 20 * time.Second, func() {}, []string{}, []string{}},
	}
	for _, s := range steps {
		c.now = time.Minute + s.at
		s.do()
		if diff := cmp.Diff(s.live, names(m.Live())); diff != "" {
			t.Errorf("%s: live (-want +got):\n%s", s.name, diff)
		}
		if diff := cmp.Diff(s.participants, names(m.PossibleParticipants())); diff != "" {
			t.Errorf("%s: possible participants (-want +got):\n%s", s.name, diff)
		}
	}
}

// A program's owner must reach the store and be in the failure domain, if there is such a node. If no node reaches the store,
// all nodes must select the same owner, or a program would have several.
func TestOwner(t *testing.T) {
	down := func(i hgpeer.Info) hgpeer.Info {
		i.StoreOK = false
		return i
	}
	nodes := []hgpeer.Info{info("a", "north"), info("b", "north"), info("c", "south"), info("d", "south")}
	tests := map[string]struct {
		change  func(i hgpeer.Info) hgpeer.Info
		domains []string
		offline bool
	}{
		"all reach the store": {func(i hgpeer.Info) hgpeer.Info { return i }, []string{"north"}, false},
		"only others do": {func(i hgpeer.Info) hgpeer.Info {
			return lo.Ternary(i.Domain == "north", down(i), i)
		}, []string{"south"}, false},
		"none does": {down, []string{"north", "south"}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			seen := map[string]bool{}
			for _, program := range lo.Times(200, func(i int) string { return string(rune('A'+i%26)) + string(rune('a'+i/26)) }) {
				owners := lo.Map(nodes[:2], func(self hgpeer.Info, _ int) hgpeer.Info {
					m := hgpeer.NewMembers(&clock{now: time.Minute}, tt.change(self))
					for _, other := range nodes {
						if other.Name != self.Name {
							m.HandleReply(hgpeer.Beat{Info: tt.change(other)})
						}
					}
					owner, isSelf, offline := m.Owner(program)
					if offline != tt.offline || isSelf != (owner.Name == self.Name) {
						t.Errorf("offline %v, self %v", offline, isSelf)
					}
					return owner
				})
				if owners[0].Name != owners[1].Name {
					t.Errorf("program %s: %s and %s", program, owners[0].Name, owners[1].Name)
				}
				seen[owners[0].Domain] = true
			}
			got := lo.Keys(seen)
			sort.Strings(got)
			if diff := cmp.Diff(tt.domains, got); diff != "" {
				t.Errorf("domains (-want +got):\n%s", diff)
			}
		})
	}
}

// Only an owner that has lost the store and is not stopping may be asked to grant tokens of the share that it claimed before.
func TestDisconnectedOwner(t *testing.T) {
	tests := map[string]struct {
		change func(i hgpeer.Info) hgpeer.Info
		ok     bool
	}{
		"reaches the store": {func(i hgpeer.Info) hgpeer.Info { return i }, false},
		"lost the store": {func(i hgpeer.Info) hgpeer.Info {
			i.StoreOK = false
			return i
		}, true},
		"stops": {func(i hgpeer.Info) hgpeer.Info {
			i.Stopping = true
			return i
		}, false},
		"lost the store and stops": {func(i hgpeer.Info) hgpeer.Info {
			i.StoreOK, i.Stopping = false, true
			return i
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := hgpeer.NewMembers(&clock{now: time.Minute}, tt.change(info("a", "north")))
			m.HandleReply(hgpeer.Beat{Info: info("b", "north")})
			disconnected := 0
			for i := range 50 {
				owner, self, ok := m.DisconnectedOwner(string(rune('A' + i)))
				if ok && (!tt.ok || !self || owner.Name != "a") {
					t.Errorf("%q is asked without the store", owner.Name)
				}
				disconnected += lo.Ternary(ok, 1, 0)
			}
			if (disconnected > 0) != tt.ok {
				t.Errorf("%d of 50 programs go on without the store", disconnected)
			}
		})
	}
}

// A node that reaches no majority must know it, because the others may treat it as gone. Nodes that have announced their stop
// do not count.
func TestMajority(t *testing.T) {
	tests := map[string]struct {
		heard, silent, stopped int
		apart                  bool
	}{
		"alone":                      {0, 0, 0, false},
		"all are heard":              {4, 0, 0, false},
		"most are heard":             {3, 2, 0, false},
		"half are heard":             {2, 3, 0, true},
		"one of two":                 {0, 1, 0, true},
		"the others have stopped":    {1, 0, 3, false},
		"a third of nine are cut":    {5, 3, 0, false},
		"the third that is cut":      {2, 6, 0, true},
		"some stopped, some are cut": {1, 2, 2, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: time.Minute}
			m := hgpeer.NewMembers(c, info("self", "north"))
			var heard, rows []hgpeer.Info
			for i := range tc.heard + tc.silent + tc.stopped {
				in := info(fmt.Sprint("peer", i), "north")
				switch {
				case i < tc.heard:
					heard = append(heard, in)
				case i >= tc.heard+tc.silent:
					in = stopped(in.Name, in.Domain)
				}
				rows = append(rows, in)
			}
			m.SetRegistered(rows)
			for _, in := range heard {
				m.HandleReply(hgpeer.Beat{Info: in})
			}
			if apart := m.LacksMajority(); apart != tc.apart {
				t.Errorf("apart %v, want %v", apart, tc.apart)
			}
			if m.IsMajority(heard) == tc.apart {
				t.Error("IsMajority and LacksMajority disagree")
			}
		})
	}
}
