package hgsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"hyssopgrade/internal/proof/hgsite"
)

// Options say how a soak runs.
type Options struct {
	// Binary is the program under test, and Dir the folder for settings and logs.
	Binary, Dir string
	Seed        uint64
	// For is the time under faults.
	For time.Duration
	// VMs is the number of entry VMs, and Callers that of callers.
	VMs, Callers int
}

// Report is the outcome of a soak.
type Report struct {
	Violations []string
	// Counts are the answers by status, and Faults the faults by kind.
	Counts, Faults map[string]int
	Programs       int
}

// recoverTime is the time after the last fault in which all must be served again.
const recoverTime = 15 * time.Second

type soak struct {
	opts    Options
	site    *hgsite.Site
	procs   []*process
	proxies []*Proxy
	check   *checker
	faults  map[string]int

	mu       sync.Mutex
	programs int
}

// Run starts a site with entry VMs as processes, plays faults drawn from the seed, and checks what is seen.
func Run(ctx context.Context, o Options) (r Report, err error) {
	defer func() { err = trace.Wrap(err, "soak with seed %d", o.Seed) }()
	s := &soak{opts: o, check: newChecker(), faults: map[string]int{}}
	if s.site, err = hgsite.NewSite(0, nil); err != nil {
		return r, err
	}
	defer s.site.Close()
	if err := s.start(); err != nil {
		return r, err
	}
	defer s.stop()
	faulty, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	var callers sync.WaitGroup
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	for i := range o.Callers {
		callers.Go(func() { s.caller(calling, rand.New(rand.NewPCG(o.Seed, uint64(i+1)))) })
	}
	for _, r := range s.site.Replicas {
		r.SetCrashing(isGuilty)
	}
	callers.Go(func() { s.guilty(calling, rand.New(rand.NewPCG(o.Seed, guiltyStream))) })
	s.inject(faulty, rand.New(rand.NewPCG(o.Seed, 0)))
	stopCalling()
	callers.Wait()
	s.recovered(ctx)
	s.checkGuilty(ctx)
	return Report{
		Violations: s.check.finish(append(s.site.Runs(hgsite.Engines), s.site.Runs(hgsite.Tools)...)),
		Counts:     s.check.counts, Faults: s.faults, Programs: s.programs,
	}, nil
}

// start starts the entry VMs, each behind a proxy of its own to the store.
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
		s.procs = append(s.procs, &process{binary: s.opts.Binary, dir: s.opts.Dir, cfg: cfg, onOwnEnd: func(ran time.Duration) {
			s.check.ownEnd(cfg.VM.Name, ran)
		}})
		if err := s.procs[i].start(); err != nil {
			return err
		}
	}
	return s.wait(recoverTime)
}

func (s *soak) stop() {
	for _, p := range s.procs {
		p.end(9, time.Second)
	}
	for _, p := range s.proxies {
		p.Close()
	}
}

// wait waits until each entry VM serves a charge.
func (s *soak) wait(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for i := range s.procs {
		for {
			reply, err := s.site.Call(context.Background(), i, hgsite.Request{Path: hgsite.CheckPath, Method: http.MethodGet})
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

// recovered checks that all is served again after the faults.
func (s *soak) recovered(ctx context.Context) {
	if err := s.wait(recoverTime); err != nil {
		s.check.mu.Lock()
		s.check.violate("%v", err)
		s.check.mu.Unlock()
		return
	}
	deadline := time.Now().Add(recoverTime)
	for i := range s.procs {
		for {
			reply, err := s.site.Call(ctx, i, hgsite.Turn(hgsite.ThreadPath, fmt.Sprint("last", i), "", "x"))
			if err == nil && reply.Status == http.StatusOK && reply.Complete {
				break
			}
			if time.Now().After(deadline) {
				s.check.mu.Lock()
				s.check.violate("entry VM %d keeps no turn %v after the last fault: status %d, %v", i, recoverTime, reply.Status, err)
				s.check.mu.Unlock()
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
