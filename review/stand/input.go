package main

import (
	"fmt"
	"time"
)

// inputCase: a server crashes once while several sub-agents run their first turn on it, all with the same new input. Other
// programs send sub-agents with that input when all is calm again.
var inputCase = reviewCase{
	perZone: 2,
	prepare: func(s *site) error {
		if err := s.addServers(serverKind{service: "clerk-models", slots: 16, tokensPerEvent: 10, work: 20 * time.Millisecond}); err != nil {
			return err
		}
		s.setDesired(turnRoute("r-renewal", keptPath, true, "clerk-models"))
		return nil
	},
	play: playInput,
}

const (
	inputPrograms = 9
	subAgents     = 5
	subAgentInput = "Look up the permit that this conversation is about and say whether it is valid."
)

// crashTime is how long the crashed server is away.
var crashTime = 3 * time.Second

func playInput(s *site, trouble bool) (violations []string, err error) {
	programs, err := s.beginPrograms(inputPrograms, 10_000, 100)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	crashing, others := programs[0], programs[1:]
	var agents []*keptProgram
	for range subAgents {
		agents = append(agents, &keptProgram{program: crashing.program, first: crashing.first})
	}
	crashed := make(chan error, 1)
	go func() { crashed <- s.crashUnder(subAgentInput, subAgents, trouble) }()
	forAll(agents, func(p *keptProgram) {
		c := *p.consumer
		q := *p.program
		q.consumer = &c
		p.next = q.turn(keptPath+"turn", newID(), p.first, subAgentInput)
	})
	if err := <-crashed; err != nil {
		return nil, err
	}
	time.Sleep(calmAfter)
	var fresh []*keptProgram
	for i := range inputPrograms {
		fresh = append(fresh, &keptProgram{program: newProgram(&consumer{site: s, zone: zones[i%len(zones)]}, 10_000, 100, time.Minute)})
	}
	s.beginCheck()
	forAll(fresh, func(p *keptProgram) { p.next = p.turn(keptPath+"turn", p.id, "", "first question of "+p.id) })
	forAll(others, func(p *keptProgram) { p.next = p.turn(keptPath+"turn", newID(), p.first, subAgentInput) })
	return s.lostTurns(others, fresh)
}

// crashUnder waits until a server works on a number of turns with an input, crashes it in the middle of them, and starts it
// again some seconds later. Without trouble it only waits for the turns.
func (s *site) crashUnder(input string, n int, trouble bool) error {
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, r := range s.servers {
			if len(r.atWork()) < n {
				continue
			}
			if !trouble {
				return nil
			}
			time.Sleep(50 * time.Millisecond)
			r.crash()
			time.Sleep(crashTime)
			return r.start()
		}
	}
	return fmt.Errorf("no server worked on %d turns at once", n)
}
