package hgsoak

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/proof/hgsite"
)

const (
	// membershipRandStream is the random number stream of the membership faults.
	membershipRandStream = 1 << 22
	// maxMembershipPause is the longest time between the starts of two membership faults.
	maxMembershipPause = 3 * time.Second
	// minVMs is the number of VMs below which none is removed, and none taken away to be replaced.
	minVMs = 2
)

// membershipFaults are the faults that remove VMs for good, break off equal requests of several programs or answer without a length.
// They are drawn beside the other faults, so that the runs of those with a seed stay as they are.
var membershipFaults = []fault{
	{"replaced VM", func(s *soak, r *rand.Rand) func() {
		p, sig := s.procs[s.anyVM(r)], anyEnd(r)
		if len(s.spares) == 0 || len(s.runningVMs()) <= minVMs {
			return func() {}
		}
		spare := s.spares[0]
		s.spares = s.spares[1:]
		p.remove(sig)
		return func() {
			cfg := s.site.Configs[spare]
			cfg.Store, cfg.VM.FirstStart = p.cfg.Store, false
			s.countSetupError(p.replace(spare, cfg))
		}
	}},
	{"removed VMs", func(s *soak, r *rand.Rand) func() {
		for range 1 + r.IntN(len(s.procs)/2) {
			p, sig := s.procs[s.anyVM(r)], anyEnd(r)
			if len(s.runningVMs()) > minVMs {
				p.remove(sig)
			}
		}
		return func() {}
	}},
	{"crash under equal turns", func(s *soak, r *rand.Rand) func() {
		rep := s.site.Replicas[[]string{"engine-0", "engine-1"}[r.IntN(2)]]
		rep.SetFault(hgsite.Fault{Remaining: 5, DropConnection: true, DropAfter: 50 * time.Millisecond, Match: func(r hgsite.Run) bool {
			return strings.Contains(r.Body, equalInput)
		}})
		return func() { rep.SetFault(hgsite.Fault{}) }
	}},
	{"answers that end with their connection", func(s *soak, r *rand.Rand) func() {
		rep := s.site.Replicas[[]string{"engine-0", "engine-1", "tool-0", "tool-1"}[r.IntN(4)]]
		rep.SetFault([]hgsite.Fault{{Remaining: 20, UntilClose: true}, {Remaining: 6, UntilClose: true, CutAfterEvents: 2}}[r.IntN(2)])
		return func() { rep.SetFault(hgsite.Fault{}) }
	}},
}

// equalInput begins the inputs that several programs send.
const equalInput = "equal-"

// anyEnd returns the signal by which a VM is removed.
func anyEnd(r *rand.Rand) syscall.Signal {
	return []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[r.IntN(2)]
}

// anyVM returns the index of a random VM that has not been removed.
func (s *soak) anyVM(r *rand.Rand) int {
	i := r.IntN(len(s.procs))
	for s.procs[i].isRemoved() {
		i = (i + 1) % len(s.procs)
	}
	return i
}

// runningVMs returns the indices of the VMs that have not been removed.
func (s *soak) runningVMs() []int {
	return lo.Filter(lo.Range(len(s.procs)), func(i, _ int) bool { return !s.procs[i].isRemoved() })
}

// node returns the index of a VM's settings in the site.
func (s *soak) node(vm int) int { return int(s.procs[vm].node.Load()) }
