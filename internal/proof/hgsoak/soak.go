package hgsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"hyssopgrade/internal/proof/hgsite"
)

// Options configure a soak.
type Options struct {
	// Binary is the path of the program under test, and Dir the directory for settings and logs.
	Binary, Dir string
	Seed        uint64
	// Planned is the duration of the phase with planned work only, For that of the phase with faults, which follows.
	Planned, For time.Duration
	// Membership adds faults that remove and replace VMs and break off equal turns, and TightBudgets threads whose budgets hold few more
	// turns than they need.
	Membership, TightBudgets bool
	// VMs is the number of entry VMs, and Callers the number of concurrent callers.
	VMs, Callers int
}

// Report holds the violations that a soak found and the counts of what it did.
type Report struct {
	Violations []string
	// Counts holds the answers by status beside further counts such as UnexpectedExits, and Faults the faults by kind.
	Counts, Faults map[string]int
	Programs       int
	// Crossed describes the calls that ended without an answer because they crossed the close of their connection.
	Crossed []string
	// Exits describes the processes that exited by themselves.
	Exits []string
}

// recoveryLimit is the time after the last fault within which all entry VMs must serve again.
const recoveryLimit = 15 * time.Second

type soak struct {
	opts    Options
	site    *hgsite.Site
	procs   []*process
	proxies []*Proxy
	// spares are the indices of settings for VMs that replace others; only the membership faults use them.
	spares []int
	check  *checker
	faults map[string]int

	mu       sync.Mutex
	programs int
	// version is that of the last desired state; only the phase of planned work writes it.
	version uint64
	// calmSince is the time of the last disruption, once a phase has ended.
	calmSince time.Time
	// planned reports whether the phase of planned work is under way.
	planned atomic.Bool
}

// Run starts a site with entry VMs as processes, injects faults drawn from the seed while callers send requests, and reports
// violations. An error means that the soak could not run.
func Run(ctx context.Context, o Options) (r Report, err error) {
	defer func() { err = trace.Wrap(err, "soak with seed %d", o.Seed) }()
	s := &soak{opts: o, check: newChecker(), faults: map[string]int{}, version: 1}
	if s.site, err = hgsite.NewSite(0, nil); err != nil {
		return r, err
	}
	defer s.site.Close()
	if err := s.start(); err != nil {
		return r, err
	}
	defer s.stop()
	if o.Planned > 0 {
		s.runPlanned(ctx)
	}
	if o.For > 0 {
		s.runFaults(ctx)
	}
	return Report{
		Violations: s.check.finish(append(s.site.Runs(hgsite.Engines), s.site.Runs(hgsite.Tools)...)),
		Counts:     s.check.counts, Faults: s.faults, Programs: s.programs, Crossed: s.check.crossed, Exits: s.check.exits,
	}, nil
}

// runFaults injects faults while callers send requests, and checks that the site recovers.
func (s *soak) runFaults(ctx context.Context) {
	faulty, cancel := context.WithTimeout(ctx, s.opts.For)
	defer cancel()
	var callers sync.WaitGroup
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	for i := range s.opts.Callers {
		callers.Go(func() { s.caller(calling, rand.New(rand.NewPCG(s.opts.Seed, uint64(i+1)))) })
	}
	for _, r := range s.site.Replicas {
		r.SetCrashing(isCrashing)
	}
	callers.Go(func() { s.sendCrashing(calling, rand.New(rand.NewPCG(s.opts.Seed, crashingRandStream))) })
	var membership sync.WaitGroup
	if s.opts.Membership {
		membership.Go(func() {
			s.inject(faulty, membershipFaults, maxMembershipPause, rand.New(rand.NewPCG(s.opts.Seed, membershipRandStream)))
		})
	}
	s.inject(faulty, faults, maxFaultPause, rand.New(rand.NewPCG(s.opts.Seed, 0)))
	membership.Wait()
	stopCalling()
	callers.Wait()
	s.checkRecovered(ctx)
	s.checkKeptAfterLoss(ctx)
	s.checkKeptInCalm(ctx)
	s.checkCrashing(ctx)
}

// start starts the entry VMs, each with its own proxy to the store, and waits until they serve.
func (s *soak) start() (err error) {
	for i := range s.opts.VMs {
		proxy, err := NewProxy(s.site.StoreAddress())
		if err != nil {
			return err
		}
		cfg, err := s.site.AddConfig(proxy.Address())
		if err != nil {
			return err
		}
		s.proxies = append(s.proxies, proxy)
		s.procs = append(s.procs, &process{binary: s.opts.Binary, dir: s.opts.Dir, cfg: cfg, onUnexpectedExit: s.check.unexpectedExit})
		s.procs[i].node.Store(int64(i))
		if err := s.procs[i].start(); err != nil {
			return err
		}
	}
	for range s.opts.VMs {
		if _, err := s.site.AddConfig(s.site.StoreAddress()); err != nil {
			return err
		}
		s.spares = append(s.spares, len(s.site.Configs)-1)
	}
	return s.waitServing(recoveryLimit)
}

// logFlushTime is the time after which a process has written its last log lines.
const logFlushTime = 300 * time.Millisecond

func (s *soak) stop() {
	time.Sleep(logFlushTime)
	for _, p := range s.procs {
		p.end(9, time.Second)
	}
	for _, p := range s.proxies {
		p.Close()
	}
}

// waitServing waits until each entry VM serves a check.
func (s *soak) waitServing(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, i := range s.runningVMs() {
		for {
			reply, err := s.site.Call(context.Background(), s.node(i), hgsite.Request{Path: hgsite.CheckPath, Method: http.MethodGet})
			if err == nil && reply.Status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return trace.LimitExceeded("entry VM %d does not serve after %v", i, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// checkRecovered checks that every entry VM serves checks and retained turns again after the faults.
func (s *soak) checkRecovered(ctx context.Context) {
	if err := s.waitServing(recoveryLimit); err != nil {
		s.check.mu.Lock()
		s.check.violate("%v", err)
		s.check.mu.Unlock()
		return
	}
	deadline := time.Now().Add(recoveryLimit)
	for _, i := range s.runningVMs() {
		for {
			reply, err := s.site.Call(ctx, s.node(i), hgsite.Turn(hgsite.ThreadPath, fmt.Sprint("last", i), "", "x"))
			if err == nil && reply.Status == http.StatusOK && reply.Complete {
				break
			}
			if time.Now().After(deadline) {
				s.check.mu.Lock()
				s.check.violate("entry VM %d keeps no turn %v after the last fault: status %d, %v", i, recoveryLimit, reply.Status, err)
				s.check.mu.Unlock()
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
