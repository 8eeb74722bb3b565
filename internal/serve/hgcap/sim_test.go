package hgcap_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/serve/hgcap"
	"hyssopgrade/internal/serve/hgteam"
)

const (
	simTick = 10 * time.Millisecond
	// simBeat is the time between two heartbeats, and simSilence the silence after which a VM is not live; a random part of it is added.
	simBeat    = 100 * time.Millisecond
	simSilence = 700 * time.Millisecond
)

// clock is a timer whose time is set by the test; only Now is used.
type clock struct {
	hgtimer.Timer
	now time.Duration
}

func (c *clock) Now() time.Duration { return c.now }

// simVM is an entry VM without network: its owner, its leases and what it has heard of the others.
type simVM struct {
	index, side       int
	owner             *hgcap.Owner
	leases            *hgcap.Leases
	heard             []time.Duration
	silence           time.Duration
	frozenUntil       time.Duration
	downUntil, bootAt time.Duration
	view              []int
	boots             int
}

// sim is a number of VMs, the requests of teams that they admitted and those that were refused.
type sim struct {
	clock  *clock
	random *rand.Rand
	bounds hgcap.Bounds
	vms    []*simVM
	caps   map[string]hgteam.Cap
	// lost is the share of calls whose answer is lost, and late the longest time between the decision on a request and its dispatch.
	lost float64
	// drop is the share of heartbeats that are lost.
	drop float64
	late time.Duration
	// sent holds the dispatch times of each team's requests.
	sent            map[string][]time.Duration
	refused, failed map[string]int
	asks            int
}

func newSim(vms int, seed uint64, b hgcap.Bounds) *sim {
	s := &sim{
		clock: &clock{now: time.Second}, random: rand.New(rand.NewPCG(seed, 1)), bounds: b, caps: map[string]hgteam.Cap{},
		sent: map[string][]time.Duration{}, refused: map[string]int{}, failed: map[string]int{},
	}
	for i := range vms {
		v := &simVM{index: i, heard: make([]time.Duration, vms)}
		s.vms = append(s.vms, v)
		s.start(v, true)
		for j := range v.heard {
			v.heard[j] = s.clock.now
		}
	}
	s.beat()
	return s
}

// start gives a VM a new process.
func (s *sim) start(v *simVM, first bool) {
	v.boots++
	v.owner = hgcap.NewOwner(s.clock, s.bounds, fmt.Sprint(v.index, "/", v.boots), first, nil)
	v.leases = hgcap.NewLeases(s.clock, s.bounds)
	v.silence = simSilence + time.Duration(s.random.Int64N(int64(300*time.Millisecond)))
	v.view, v.bootAt = nil, s.clock.now
	for j := range v.heard {
		v.heard[j] = -time.Hour
	}
}

func (s *sim) runs(v *simVM) bool { return s.clock.now >= max(v.frozenUntil, v.downUntil) }

func (s *sim) reaches(a, b *simVM) bool { return s.runs(a) && s.runs(b) && a.side == b.side }

// beat updates what each VM has heard, and which teams it owns.
func (s *sim) beat() {
	for _, v := range s.vms {
		if !s.runs(v) {
			continue
		}
		for _, p := range s.vms {
			if p == v || s.reaches(v, p) && s.random.Float64() >= s.drop {
				v.heard[p.index] = s.clock.now
			}
		}
		s.look(v)
	}
}

// look updates the view of a VM. A VM that has just started owns nothing until the others know it.
func (s *sim) look(v *simVM) {
	var live, view []int
	for _, p := range s.vms {
		if s.clock.now-v.heard[p.index] < v.silence {
			live = append(live, p.index)
			if p.boots == 1 || s.clock.now-p.bootAt > 3*time.Second {
				view = append(view, p.index)
			}
		}
	}
	if len(view) == 0 {
		view = live
	}
	changed := !slices.Equal(view, v.view)
	v.view = view
	v.owner.SetView(float64(len(live))/float64(len(s.vms)), changed, func(team string) bool { return highest(view, team) == v.index })
	v.owner.Tick()
}

func highest(view []int, team string) (owner int) {
	var most uint64
	for _, i := range view {
		if h := xxhash.Sum64String(fmt.Sprint(i, team)); h >= most {
			owner, most = i, h
		}
	}
	return owner
}

// take decides on a request that arrives at a VM, as hgpeer.Caps does with calls that take no time.
func (s *sim) take(v *simVM, q hgcap.Request) hgcap.Reply {
	q.Team.Cap = s.caps[q.Team.Name]
	reply := hgcap.Reply{}
	for again := false; ; again = true {
		step := v.leases.Take(q, again)
		if step.Ask != nil {
			s.ask(v, *step.Ask)
		}
		if reply = step.Reply; step.Decided {
			break
		}
		if step.Done == nil {
			reply = v.leases.TakeOwn(q, len(s.vms))
			break
		}
	}
	name := q.Team.Name
	switch reply.Verdict {
	case hgcap.Granted:
		at := s.clock.now
		if s.late > 0 {
			at += time.Duration(s.random.Int64N(int64(s.late)))
		}
		s.sent[name] = append(s.sent[name], at)
	case hgcap.OverCap:
		s.refused[name]++
	default:
		s.failed[name]++
	}
	return reply
}

func (s *sim) ask(v *simVM, q hgcap.Ask) {
	s.asks++
	owner := s.vms[highest(v.view, q.Team)]
	if !s.reaches(v, owner) || s.random.Float64() < s.lost {
		v.leases.Settle(q, hgcap.Grant{}, false)
		return
	}
	limit := s.caps[q.Team]
	if owner.owner.Lacks(q.Team) {
		rest := slices.DeleteFunc(slices.Clone(owner.view), func(i int) bool { return i == owner.index })
		previous := s.vms[highest(rest, q.Team)]
		var h hgcap.Handover
		answers := len(rest) == 0 || s.reaches(owner, previous)
		if answers && len(rest) > 0 {
			h = previous.owner.Surrender(q.Team)
		}
		owner.owner.Adopt(q.Team, limit, h, answers)
	}
	g := owner.owner.Grant(q, limit)
	if s.random.Float64() < s.lost {
		v.leases.Settle(q, hgcap.Grant{}, false)
		return
	}
	v.leases.Settle(q, g, true)
}

// run advances the time by d and calls arrive at each step.
func (s *sim) run(d time.Duration, arrive func()) {
	for end := s.clock.now + d; s.clock.now < end; {
		s.clock.now += simTick
		if s.clock.now%simBeat == 0 {
			s.beat()
		}
		arrive()
	}
}

// poisson returns the number of events of a step at a rate per second.
func (s *sim) poisson(rate float64) (n int) {
	for left := s.random.ExpFloat64(); left < rate*simTick.Seconds(); left += s.random.ExpFloat64() {
		n++
	}
	return n
}

// most returns the largest number of a team's requests in any window.
func (s *sim) most(team string) (most int) {
	at := slices.Sorted(slices.Values(s.sent[team]))
	from := 0
	for i := range at {
		for at[i]-at[from] >= s.bounds.Window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

func limit(b hgcap.Bounds, c hgteam.Cap) float64 {
	return (c.Rate*b.Window.Seconds()+c.Burst)*(1+b.Overage) + b.Slack
}
