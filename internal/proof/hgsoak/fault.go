package hgsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgsite"
)

const (
	// maxFaultPause is the longest time between the starts of two faults, and maxFaultDuration the longest duration of one.
	maxFaultPause    = 900 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// stopTimeout is the time that a process has for a graceful stop.
	stopTimeout = 9 * time.Second
	// storeParts is the number of parts of the store, of which a fault makes some unresponsive.
	storeParts = 16
)

// fault is a kind of fault; start begins one and returns the function that ends it.
type fault struct {
	name  string
	start func(s *soak, r *rand.Rand) (end func())
}

// faults are the kinds that a soak draws from; several may be active at once. Reordering them changes the runs of all seeds.
var faults = []fault{
	{"kill", func(s *soak, r *rand.Rand) func() {
		p := s.procs[r.IntN(len(s.procs))]
		p.end(syscall.SIGKILL, time.Second)
		return func() { s.restart(p) }
	}},
	{"kill all", func(s *soak, _ *rand.Rand) func() {
		for _, p := range s.procs {
			p.end(syscall.SIGKILL, time.Second)
		}
		return func() {
			for _, p := range s.procs {
				s.restart(p)
			}
		}
	}},
	{"stop", func(s *soak, r *rand.Rand) func() {
		p := s.procs[r.IntN(len(s.procs))]
		p.end(syscall.SIGTERM, stopTimeout)
		return func() { s.restart(p) }
	}},
	{"freeze", func(s *soak, r *rand.Rand) func() {
		p := s.procs[r.IntN(len(s.procs))]
		p.generation.Add(1)
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"hang up", func(s *soak, r *rand.Rand) func() {
		s.procs[r.IntN(len(s.procs))].signal(syscall.SIGHUP)
		return func() {}
	}},
	{"cut from the store", func(s *soak, r *rand.Rand) func() {
		p := s.proxies[r.IntN(len(s.proxies))]
		p.SetMode([]Mode{Delay, Reset, Silent, OneWay}[r.IntN(4)])
		return func() { p.SetMode(Pass) }
	}},
	{"store", func(s *soak, r *rand.Rand) func() {
		s.site.Store.SetFault([]hgstore.Fault{
			{Down: true}, {Hang: true}, {DelayMs: 60}, {DelayMs: 300}, {LoseReplies: 20},
			{Silent: lo.Times(storeParts/4, func(int) string { return fmt.Sprintf("%02d", r.IntN(storeParts)) })},
		}[r.IntN(6)])
		return func() { s.site.Store.SetFault(hgstore.Fault{}) }
	}},
	{"history gone", func(s *soak, _ *rand.Rand) func() {
		s.site.Store.DropHistory()
		return func() {}
	}},
	{"replica", func(s *soak, r *rand.Rand) func() {
		rep := s.site.Replicas[[]string{"engine-0", "engine-1", "tool-0", "tool-1"}[r.IntN(4)]]
		rep.SetFault([]hgsite.Fault{
			{Remaining: 10, Refuse: true}, {Remaining: 6, DropConnection: true}, {Remaining: 6, CutAfterEvents: 2}, {Remaining: 6, CutAfterHeaders: true}, {Remaining: 4, WrongAttemptID: true},
		}[r.IntN(5)])
		return func() { rep.SetFault(hgsite.Fault{}) }
	}},
	{"replica that says it leaves", func(s *soak, r *rand.Rand) func() {
		id := []string{"engine-0", "tool-0"}[r.IntN(2)]
		s.site.Replicas[id].SetLeaving(true)
		return func() {
			s.site.Replicas[id].SetLeaving(false)
			s.countSetupError(s.site.RegisterRestart(id))
		}
	}},
	{"leaving replica", func(s *soak, r *rand.Rand) func() {
		id := []string{"engine-0", "tool-0"}[r.IntN(2)]
		s.countSetupError(s.site.SetRegisteredLeaving(id, true))
		return func() { s.countSetupError(s.site.SetRegisteredLeaving(id, false)) }
	}},
	{"answers until close", func(s *soak, r *rand.Rand) func() {
		rep := s.site.Replicas[[]string{"engine-0", "engine-1", "tool-0", "tool-1"}[r.IntN(4)]]
		f := []hgsite.Fault{{}, {}, {ResetAfter: 2}, {CutAfterEvents: 2}, {CutAfterHeaders: true}}[r.IntN(5)]
		f.Remaining, f.UntilClose = 20, true
		rep.SetFault(f)
		return func() { rep.SetFault(hgsite.Fault{}) }
	}},
}

// countSetupError counts a fault that could not be started or ended, for instance because the store was down.
func (s *soak) countSetupError(err error) {
	if err != nil {
		s.countFault("not set up")
	}
}

func (s *soak) countFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[name]++
}

func (s *soak) restart(p *process) { s.countSetupError(p.start()) }

// inject starts random faults until the context ends, and then ends the active ones.
func (s *soak) inject(ctx context.Context, faults []fault, maxPause time.Duration, r *rand.Rand) {
	type activeFault struct {
		until time.Time
		end   func()
	}
	var active []activeFault
	for ctx.Err() == nil {
		f := faults[r.IntN(len(faults))]
		s.countFault(f.name)
		active = append(active, activeFault{time.Now().Add(time.Duration(r.Int64N(int64(maxFaultDuration)))), f.start(s, r)})
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.Int64N(int64(maxPause)))):
		}
		active = lo.Filter(active, func(f activeFault, _ int) bool {
			if time.Now().Before(f.until) {
				return true
			}
			f.end()
			return false
		})
	}
	s.site.Store.SetFault(hgstore.Fault{})
	for _, f := range active {
		f.end()
	}
}
