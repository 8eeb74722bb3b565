package hgsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgdesired"
)

const (
	// plannedRandStream is the random number stream of the planned work; those of its callers follow.
	plannedRandStream = 1 << 21
	// maxPlannedPause is the longest time between two pieces of planned work.
	maxPlannedPause = 700 * time.Millisecond
	// maxSeries is the largest number of signals in a series, and seriesPause the pause between two of them.
	maxSeries   = 4
	seriesPause = 5 * time.Millisecond
	// maxReplicaPause is the longest time before an event of a stream, and before the answer of a tool.
	maxReplicaPause = 270 * time.Millisecond
	// maxUntilClose bounds the number of answers of a replica that end with their connection.
	maxUntilClose = 30
	// lossSlack is the platform's loss_slack_ms: within it after its last byte, a request that reached no replica may end
	// without an answer.
	lossSlack = 200 * time.Millisecond
)

// plannedWork is a kind of planned work; begin starts a piece of it and returns the rest, which runs beside further pieces.
type plannedWork struct {
	name  string
	begin func(s *soak, r *rand.Rand) (rest func())
}

var plannedWorks = []plannedWork{
	{"planned stop", func(s *soak, r *rand.Rand) func() {
		p := s.procs[r.IntN(len(s.procs))]
		return func() {
			p.end(syscall.SIGTERM, stopTimeout)
			s.restart(p)
		}
	}},
	{"planned hang up", func(s *soak, r *rand.Rand) func() {
		p, series := s.procs[r.IntN(len(s.procs))], 1+r.IntN(maxSeries)
		return func() {
			for range series {
				p.signal(syscall.SIGHUP)
				time.Sleep(seriesPause)
			}
		}
	}},
	{"desired state", func(s *soak, r *rand.Rand) func() {
		s.countSetupError(s.site.SetDesired(s.nextDesired(r)))
		return func() {}
	}},
	{"longer answers", func(s *soak, r *rand.Rand) func() {
		for _, rep := range s.site.Replicas {
			rep.SetPause(time.Duration(r.Int64N(int64(maxReplicaPause))))
		}
		return func() {}
	}},
	{"answers without a length", func(s *soak, r *rand.Rand) func() {
		for _, rep := range s.site.Replicas {
			rep.SetFault(hgsite.Fault{Remaining: r.IntN(maxUntilClose), UntilClose: true})
		}
		return func() {}
	}},
}

// nextDesired returns a new desired state with other time-outs and limits and, at times, one more route.
func (s *soak) nextDesired(r *rand.Rand) *hgdesired.State {
	s.version++
	d := hgsite.Desired(s.version)
	for i := range d.Routes {
		d.Routes[i].Timeout += time.Duration(r.IntN(3)) * time.Second
	}
	d.Limits.IdleTimeout = time.Duration(1+r.IntN(15)) * time.Second
	d.Limits.MaxBodyBytes <<= r.IntN(3)
	if r.IntN(2) == 0 {
		extra := d.Routes[2]
		extra.Name, extra.PathPrefix = "extra", "/extra/"
		d.Routes = append(d.Routes, extra)
	}
	return d
}

// runPlanned runs planned work only, while callers use open connections until the process is gone and open new ones.
func (s *soak) runPlanned(ctx context.Context) {
	planned, cancel := context.WithTimeout(ctx, s.opts.Planned)
	defer cancel()
	r := rand.New(rand.NewPCG(s.opts.Seed, plannedRandStream))
	s.planned.Store(true)
	var work, callers sync.WaitGroup
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	for i := range s.opts.Callers {
		callers.Go(func() { s.caller(calling, rand.New(rand.NewPCG(s.opts.Seed, uint64(plannedRandStream+1+i)))) })
	}
	for planned.Err() == nil {
		w := plannedWorks[r.IntN(len(plannedWorks))]
		s.countFault(w.name)
		work.Go(w.begin(s, r))
		select {
		case <-planned.Done():
		case <-time.After(time.Duration(r.Int64N(int64(maxPlannedPause)))):
		}
	}
	work.Wait()
	s.calmSince = time.Now()
	stopCalling()
	callers.Wait()
	s.planned.Store(false)
	for _, rep := range s.site.Replicas {
		rep.SetPause(hgsite.Pause)
		rep.SetFault(hgsite.Fault{})
	}
	s.version++
	s.countSetupError(s.site.SetDesired(hgsite.Desired(s.version)))
	s.checkKeptInCalm(ctx)
	s.check.judgePlanned(append(s.site.Runs(hgsite.Engines), s.site.Runs(hgsite.Tools)...))
}

// recordExchange keeps an exchange of the phase of planned work.
func (c *checker) recordExchange(e exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchanges = append(c.exchanges, e)
}

// judgePlanned checks that no request that was written whole ended without a complete answer because of planned work, before its
// deadline and once it had reached a replica or later than lossSlack after its last byte. Others that ended so are counted as crossed.
func (c *checker) judgePlanned(runs []hgsite.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reached := map[string]string{}
	for _, r := range runs {
		reached[r.Attempt] = r.Replica
	}
	for _, e := range c.exchanges {
		replica, passed := reached[e.attempt]
		switch {
		case e.answered:
			c.counts["planned: answered, "+e.conn]++
		case e.written.IsZero() && !passed:
			c.counts["planned: not sent"]++
		case !e.written.IsZero() && e.age() >= e.deadline:
			c.counts["planned: out of time"]++
		case passed:
			c.violate("%s, passed on to %s: %v", e, replica, e.err)
		case e.age() > lossSlack:
			c.violate("%s, past the slack: %v", e, e.err)
		default:
			c.counts["planned: crossed, "+e.conn]++
			c.crossed = append(c.crossed, fmt.Sprintf("%s: %v", e, e.err))
		}
	}
	c.exchanges = nil
}
