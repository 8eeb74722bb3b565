package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// splitCase: a route of turns is split between two engine services whose events count for different numbers of tokens.
var splitCase = reviewCase{
	perZone: 2,
	prepare: func(s *site) error {
		for _, k := range splitEngines {
			if err := s.addServers(k); err != nil {
				return err
			}
		}
		s.setDesired(turnRoute("r-lodge", chatPath, false, splitEngines[0].service))
		return nil
	},
	play: playSplit,
}

var splitEngines = []serverKind{
	{service: "clerk-models", slots: 16, tokensPerEvent: 4, work: 2 * time.Millisecond},
	{service: "clerk-models-new", slots: 16, tokensPerEvent: 16, work: 8 * time.Millisecond},
}

const (
	splitBudget   = 960
	splitMost     = 96
	splitPrograms = 12
	// splitTurns ends a program that is never told that its budget is spent.
	splitTurns = 40
)

func playSplit(s *site, trouble bool) (violations []string, err error) {
	if trouble {
		r := turnRoute("r-lodge", chatPath, false, "")
		r.Split = []share{{splitEngines[0].service, 50}, {splitEngines[1].service, 50}}
		s.setDesired(r)
	}
	time.Sleep(4 * time.Second) // longer than config_apply_ms
	var mu sync.Mutex
	var all sync.WaitGroup
	programs := map[*program][]answer{}
	for i := range splitPrograms {
		all.Go(func() {
			p := newProgram(&consumer{site: s, zone: zones[i%len(zones)]}, splitBudget, splitMost, time.Minute)
			var answers []answer
			for n := range splitTurns {
				t := p.turn(chatPath+"turn", p.id, "", fmt.Sprintf("question %d of program %s", n, p.id))
				answers = append(answers, t.attempts...)
				if !t.ok {
					break
				}
			}
			mu.Lock()
			defer mu.Unlock()
			programs[p] = answers
		})
	}
	all.Wait()
	runs := s.runsByAttempt()
	for p, answers := range programs {
		tokens, turns, last := 0, 0, 0
		for _, a := range answers {
			last = a.status
			if ran := runs[a.attempt]; len(ran) > 0 {
				turns++
				tokens += a.events * s.tokensPerEvent(ran[len(ran)-1].Service)
			}
		}
		s.rec.say("program %s: budget %d, %d tokens in %d turns, last status %d", p.id, p.budget, tokens, turns, last)
		if tokens > p.budget+p.most {
			violations = append(violations, fmt.Sprintf("BUDGET: program %s was handed %d tokens, its budget and one turn are %d", p.id, tokens, p.budget+p.most))
		}
		if last != http.StatusPaymentRequired && !trouble {
			return nil, fmt.Errorf("program %s ended with status %d", p.id, last)
		}
	}
	return violations, nil
}

// tokensPerEvent returns the number of tokens of each event of a service.
func (s *site) tokensPerEvent(service string) int {
	for _, r := range s.servers {
		if r.kind.service == service {
			return r.kind.tokensPerEvent
		}
	}
	return 0
}
