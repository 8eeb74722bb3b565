package main

import (
	"fmt"
	"sync"
	"time"
)

// majorityCase: half of the machines, one in each zone, are removed for good at the same moment.
var majorityCase = reviewCase{
	perZone: 2,
	prepare: func(s *site) error {
		if err := s.addServers(serverKind{service: "clerk-models", slots: 16, tokensPerEvent: 10, work: 5 * time.Millisecond}); err != nil {
			return err
		}
		s.setDesired(turnRoute("r-renewal", keptPath, true, "clerk-models"))
		return nil
	},
	play: playMajority,
}

const (
	majorityPrograms = 24
	majorityBudget   = 240
	majorityMost     = 100
	// leastTries is the number of tries without any run from which LOST is broken.
	leastTries = 5
)

var (
	// calmAfter is the time from the last disruption to the traffic that is checked: longer than contact_ms, 3 s, and than
	// the time for which clients keep an answer of the directory.
	calmAfter = 8 * time.Second
	// checkSpread is the time over which the checked turns begin.
	checkSpread = 4 * time.Second
)

// keptProgram is a program whose first turn was answered whole.
type keptProgram struct {
	*program
	first string
	next  turnOutcome
}

// beginPrograms runs the first turns of a number of programs.
func (s *site) beginPrograms(n, budget, most int) (programs []*keptProgram, err error) {
	for i := range n {
		p := &keptProgram{program: newProgram(&consumer{site: s, zone: zones[i%len(zones)]}, budget, most, time.Minute)}
		programs = append(programs, p)
	}
	forAll(programs, func(p *keptProgram) { p.next = p.turn(keptPath+"turn", p.id, "", "first question of "+p.id) })
	for _, p := range programs {
		if !p.next.ok {
			return nil, fmt.Errorf("first turn of program %s: %s", p.id, p.next.last)
		}
		p.first = p.next.last.attempt
	}
	return programs, nil
}

func forAll(programs []*keptProgram, do func(p *keptProgram)) {
	var all sync.WaitGroup
	for _, p := range programs {
		all.Go(func() { do(p) })
	}
	all.Wait()
}

// lostTurns checks LOST for the programs' last turns: one that names a turn that was answered whole reaches no server in five
// tries or more, though nine tenths of first turns do.
func (s *site) lostTurns(programs, fresh []*keptProgram) (violations []string, err error) {
	reached := func(t turnOutcome) bool {
		for _, a := range t.attempts {
			for _, r := range s.servers {
				if r.reachedBy(a.attempt) {
					return true
				}
			}
		}
		return false
	}
	for _, r := range s.servers {
		if peak := r.takePeak(); 2*peak >= r.kind.slots {
			return nil, fmt.Errorf("server %s had %d of %d places taken: the rule asks for less than half", r.id, peak, r.kind.slots)
		}
	}
	served := 0
	for _, p := range fresh {
		if reached(p.next) {
			served++
		}
	}
	s.rec.say("%d of %d first turns of new programs reached a server", served, len(fresh))
	if 10*served < 9*len(fresh) {
		return nil, fmt.Errorf("too few first turns reached a server")
	}
	lost := 0
	for _, p := range programs {
		if reached(p.next) {
			continue
		}
		lost++
		if len(p.next.attempts) >= leastTries && time.Now().Before(p.began.Add(p.aim)) {
			violations = append(violations, fmt.Sprintf("LOST: program %s names turn %s, answered whole; %d tries reached no server, the last: %s",
				p.id, p.first, len(p.next.attempts), p.next.last))
		}
	}
	s.rec.say("%d of %d next turns reached no server", lost, len(programs))
	return violations, nil
}

// beginCheck begins the time in which the servers have to be under half full.
func (s *site) beginCheck() {
	for _, r := range s.servers {
		r.takePeak()
	}
}

func playMajority(s *site, trouble bool) (violations []string, err error) {
	programs, err := s.beginPrograms(majorityPrograms, majorityBudget, majorityMost)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if trouble {
		for _, m := range s.vms[:len(zones)] {
			m.removed = true
			m.kill()
			s.rec.say("%s is removed for good", m.name)
		}
	}
	time.Sleep(calmAfter)
	var fresh []*keptProgram
	for i := range majorityPrograms {
		fresh = append(fresh, &keptProgram{program: newProgram(&consumer{site: s, zone: zones[i%len(zones)]}, majorityBudget, majorityMost, time.Minute)})
	}
	s.beginCheck()
	forAll(append(fresh, programs...), func(p *keptProgram) {
		// The turns are spread, so that the servers stay under half full.
		time.Sleep(time.Duration(randomInt(int(checkSpread))))
		p.next = p.turn(keptPath+"turn", p.id, p.first, "next question of "+p.id)
	})
	return s.lostTurns(programs, fresh)
}
