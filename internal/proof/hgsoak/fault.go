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
	// faultPause is the longest time between two faults, and faultTime the longest that one lasts.
	faultPause = 900 * time.Millisecond
	faultTime  = 2500 * time.Millisecond
	// graceTime is the time that a process has to stop.
	graceTime = 9 * time.Second
	// storeParts is the number of parts of which some fall silent.
	storeParts = 16
)

// fault does something and returns what ends it.
type fault struct {
	name  string
	start func(s *soak, r *rand.Rand) (end func())
}

// faults are the kinds that a soak draws from; several may be in force at once.
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
		p.end(syscall.SIGTERM, graceTime)
		return func() { s.restart(p) }
	}},
	{"freeze", func(s *soak, r *rand.Rand) func() {
		p := s.procs[r.IntN(len(s.procs))]
		p.run.Add(1)
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"hang up", func(s *soak, r *rand.Rand) func() {
		s.procs[r.IntN(len(s.procs))].signal(syscall.SIGHUP)
		return func() {}
	}},
	{"cut from the store", func(s *soak, r *rand.Rand) func() {
		p := s.proxies[r.IntN(len(s.proxies))]
		p.Set([]Mode{Delay, Reset, Silent, OneWay}[r.IntN(4)])
		return func() { p.Set(Pass) }
	}},
	{"store", func(s *soak, r *rand.Rand) func() {
		s.site.Store.SetFault([]hgstore.Fault{
			{Down: true}, {DelayMs: 300}, {LoseReplies: 20},
			{Silent: lo.Times(storeParts/4, func(int) string { return fmt.Sprintf("%02d", r.IntN(storeParts)) })},
		}[r.IntN(4)])
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
			s.note(s.site.RegisterRestart(id))
		}
	}},
	{"leaving replica", func(s *soak, r *rand.Rand) func() {
		id := []string{"engine-0", "tool-0"}[r.IntN(2)]
		s.note(s.site.SetRegisteredLeaving(id, true))
		return func() { s.note(s.site.SetRegisteredLeaving(id, false)) }
	}},
}

// note counts what could not be set up, as a store that is down refuses the operators as well.
func (s *soak) note(err error) {
	if err != nil {
		s.faults["not set up"]++
	}
}

func (s *soak) restart(p *process) { s.note(p.start()) }

// inject plays faults until the context ends, and ends them all.
func (s *soak) inject(ctx context.Context, r *rand.Rand) {
	type running struct {
		until time.Time
		end   func()
	}
	var open []running
	for ctx.Err() == nil {
		f := faults[r.IntN(len(faults))]
		s.faults[f.name]++
		open = append(open, running{time.Now().Add(time.Duration(r.Int64N(int64(faultTime)))), f.start(s, r)})
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.Int64N(int64(faultPause)))):
		}
		open = lo.Filter(open, func(f running, _ int) bool {
			if time.Now().Before(f.until) {
				return true
			}
			f.end()
			return false
		})
	}
	s.site.Store.SetFault(hgstore.Fault{})
	for _, f := range open {
		f.end()
	}
}
