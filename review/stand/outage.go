package main

import (
	"fmt"
	"time"
)

// outageCase: programs that loop without end use up their budgets through the machines of one zone. All processes of that zone
// are killed twice, before and after the programs are stopped, and the programs return during an outage of the store.
var outageCase = reviewCase{
	perZone: 2,
	prepare: func(s *site) error {
		if err := s.addServers(serverKind{service: "clerk-models", slots: 16, tokensPerEvent: 10, work: 3 * time.Millisecond}); err != nil {
			return err
		}
		s.setDesired(turnRoute("r-lodge", chatPath, false, "clerk-models"))
		return nil
	},
	play: playOutage,
}

const (
	outageZone     = "tas-burnie"
	outagePrograms = 8
	outageMost     = 100
	outageTurns    = 4
	outageBudget   = outageTurns * outageMost
	// herdDown is how long killed processes stay down, and storeDown how long the store does.
	herdDown  = 2 * time.Second
	storeDown = 4500 * time.Millisecond
	// settleTime is the pause of the programs after the machines are ready again.
	settleTime = 4 * time.Second
)

// herdKill kills all processes of a zone at the same moment and starts them again.
func (s *site) herdKill(zone string) (err error) {
	s.rec.say("all processes in %s are killed", zone)
	for _, m := range s.vms {
		if m.zone == zone {
			m.kill()
		}
	}
	time.Sleep(herdDown)
	for _, m := range s.vms {
		if m.zone == zone {
			if err := m.start(); err != nil {
				return err
			}
		}
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	s.rec.say("all machines are ready again")
	time.Sleep(settleTime)
	return nil
}

func playOutage(s *site, trouble bool) (violations []string, err error) {
	var programs []*keptProgram
	for range outagePrograms {
		programs = append(programs, &keptProgram{program: newProgram(&consumer{site: s, zone: outageZone}, outageBudget, outageMost, 2*time.Minute)})
	}
	// step runs a number of turns of each program.
	step := func(name string, turns int) {
		outcomes := make(chan turnOutcome, turns*len(programs))
		forAll(programs, func(p *keptProgram) {
			for n := range turns {
				t := p.turn(chatPath+"turn", p.id, "", fmt.Sprintf("%s, question %d of %s", name, n, p.id))
				for _, a := range t.attempts {
					s.rec.add("program %s %s: %s", p.id, name, a)
				}
				p.next.attempts = append(p.next.attempts, t.attempts...)
				outcomes <- t
				if !t.ok {
					return
				}
			}
		})
		close(outcomes)
		statuses := map[int]int{}
		for t := range outcomes {
			statuses[t.last.status]++
		}
		s.rec.say("%s: turns by status %v", name, statuses)
	}
	step("loop", outageTurns)
	if trouble {
		if err := s.herdKill(outageZone); err != nil {
			return nil, err
		}
	}
	step("loop after the first kill", 2)
	if trouble {
		if err := s.herdKill(outageZone); err != nil {
			return nil, err
		}
		s.store.setDown(true)
		s.rec.say("the store is down")
		time.AfterFunc(storeDown, func() {
			s.store.setDown(false)
			s.rec.say("the store is back")
		})
		time.Sleep(time.Second)
	}
	step("return", 1)
	if trouble {
		time.Sleep(storeDown + settleTime)
	}
	step("after all", 1)
	for _, p := range programs {
		tokens := 0
		for _, a := range p.next.attempts {
			tokens += a.events * s.servers[0].kind.tokensPerEvent
		}
		s.rec.say("program %s: budget %d, %d tokens handed out", p.id, p.budget, tokens)
		if tokens > p.budget+p.most {
			violations = append(violations, fmt.Sprintf("BUDGET: program %s was handed %d tokens, its budget and one turn are %d", p.id, tokens, p.budget+p.most))
		}
	}
	return violations, nil
}
