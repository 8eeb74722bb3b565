package hgpeer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/state/hgledger"
)

func (s *site) note(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%6v %s", s.clock.now-time.Minute, fmt.Sprintf(format, args...)))
}

// turn serves a turn of a program at a VM. The caller gets all or a random number of the reserved tokens.
func (s *site) turn(r *rand.Rand, program string, v *siteVM) {
	s.turns++
	q := hgledger.OpenRequest{
		Program: program, Attempt: fmt.Sprint(s.turns), Budget: siteBudget, Most: siteMost, HasBudget: true, Offline: !v.reachesStore(),
		Estimate: siteMost / 2, Extendable: r.IntN(2) == 0,
	}
	reply := v.ledger.Open(context.Background(), q)
	if reply.Verdict == hgledger.Granted {
		used := lo.Ternary(r.IntN(4) == 0, r.IntN(reply.Most+1), reply.Most)
		s.delivered[program] += used
		err := v.ledger.Close(context.Background(), hgledger.CloseRequest{Program: program, Attempt: q.Attempt, Holder: reply.Holder, Used: used})
		if err != nil {
			s.t.Fatal(err)
		}
	}
	s.note("turn of %s at %s: %s %d, offline %t, delivered %d", program, v.name, reply.Verdict, reply.Most, q.Offline, s.delivered[program])
}

// history returns the steps without the turns of other programs.
func (s *site) history(program string) string {
	return strings.Join(lo.Reject(s.log, func(l string, _ int) bool {
		return strings.Contains(l, "turn of") && !strings.Contains(l, "turn of "+program+" ")
	}), "\n")
}

// step takes a random step.
func (s *site) step(r *rand.Rand) {
	s.run(time.Duration(r.IntN(int(4 * time.Second))))
	up := lo.Filter(s.vms, func(v *siteVM, _ int) bool { return v.up })
	down := lo.Reject(s.vms, func(v *siteVM, _ int) bool { return v.up })
	if len(up) == 0 {
		s.add(false)
		return
	}
	v := up[r.IntN(len(up))]
	some := lo.Filter(up, func(*siteVM, int) bool { return r.IntN(2) == 0 })
	switch r.IntN(26) {
	case 0:
		side := r.IntN(sides)
		s.change(func() {
			for _, v := range some {
				v.side = side
			}
		})
		s.note("cut %v to side %d", vmNames(some), side)
	case 1:
		s.change(func() { v.side = r.IntN(sides) })
		s.note("cut %s to side %d", v.name, v.side)
	case 2, 3:
		s.heal()
	case 4:
		s.change(func() { s.storeDown = !s.storeDown })
		s.note("store down: %t", s.storeDown)
	case 5:
		s.change(func() { v.slow = !v.slow })
		s.note("slow at %s: %t", v.name, v.slow)
	case 6:
		v.start(false)
		s.note("restart of %s", v.name)
	case 7:
		v.stop()
		s.note("stop of %s", v.name)
	case 8:
		s.change(func() { v.up, v.powered = false, r.IntN(2) == 0 })
		s.note("removal of %s", v.name)
	case 9:
		s.change(func() {
			for _, v := range some {
				v.up, v.powered = false, r.IntN(2) == 0
			}
		})
		s.note("removal of %v", vmNames(some))
	case 10:
		if len(up) < 2*siteVMs {
			s.note("new %s", s.add(false).name)
		}
	case 11:
		if len(down) > 0 {
			back := down[r.IntN(len(down))]
			back.start(false)
			s.note("return of %s", back.name)
		}
	case 12:
		if v.reachesStore() {
			saved, left := v.ledger.SaveClaims(context.Background())
			s.note("save at %s: %d, %d left", v.name, saved, left)
		}
	case 13, 14:
		s.change(func() { v.storeCut = !v.storeCut })
		s.note("store cut at %s: %t", v.name, v.storeCut)
	case 15:
		s.change(func() {
			for _, v := range some {
				v.storeCut = true
			}
		})
		s.note("store cut at %v", vmNames(some))
	case 16:
		if !v.stopping {
			v.announceStop()
			s.note("%s announces its stop", v.name)
		}
	default:
		for range turnsPerStep {
			s.turn(r, fmt.Sprint("p", r.IntN(sitePrograms)), up[r.IntN(len(up))])
		}
	}
}

func (s *site) heal() {
	s.change(func() {
		s.storeDown = false
		for _, v := range s.vms {
			v.side, v.slow, v.storeCut = 0, false, false
		}
	})
	s.note("heal")
}

func vmNames(vms []*siteVM) []string {
	return lo.Map(vms, func(v *siteVM, _ int) string { return v.name })
}

// contacts returns the peers that answer a VM and those whose processes have ended. Complete says that none is silent that
// the VM has heard of recently.
func (v *siteVM) contacts() (answered, ended []hgpeer.Info, complete bool) {
	complete = true
	for _, p := range v.members.PossibleParticipants() {
		switch _, err := (siteClient{v}).peer(p.Name); {
		case err == nil:
			answered = append(answered, p)
		case hgpeer.HasEnded(err):
			ended = append(ended, p)
		default:
			complete = false
		}
	}
	return answered, ended, complete
}

// mayClaim reports whether a VM may claim tokens without a row, as far as members are concerned.
func (v *siteVM) mayClaim() bool {
	answered, ended, complete := v.contacts()
	return v.up && complete && len(answered) > 0 && v.members.MayClaim(answered, ended)
}

// mayExceed reports whether a VM may grant a turn that exceeds the budget if other VMs have used what they claimed.
func (v *siteVM) mayExceed() bool {
	answered, _, _ := v.contacts()
	return v.up && v.reachesStore() && !v.members.LacksMajority() && v.members.IsMajority(answered)
}

// rivals returns a VM that may claim tokens without a row and one on another side that may exceed the budget with one, if there are any.
func (s *site) rivals() (without, with string, ok bool) {
	for _, v := range lo.Filter(s.vms, func(v *siteVM, _ int) bool { return v.mayClaim() }) {
		if w, ok := lo.Find(s.vms, func(w *siteVM) bool { return w.side != v.side && w.mayExceed() }); ok {
			return v.name, w.name, true
		}
	}
	return "", "", false
}
