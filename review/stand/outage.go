package main

import (
	"fmt"
	"net/http"
	"time"
)

// outageCase: programs that loop without end use up their budgets while two of three machines are restarted as planned, one after
// the other. Later, while the store is down, the programs that were stopped return.
var outageCase = reviewCase{
	perZone: 1,
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
	outagePrograms = 240
	outageMost     = 100
	outageBudget   = 5 * outageMost
	// outageTurns ends a program that is never told that its budget is spent.
	outageTurns = 20
)

var (
	// thinkTime is the least time between two turns of a program, and thinkSpread what is added at random.
	thinkTime   = 2200 * time.Millisecond
	thinkSpread = time.Second
	// startSpread is the time within which the programs begin, and return.
	startSpread = 2 * time.Second
	// restartAfter is the time from the first turns to the first restart, and restartGap the time between the restarts.
	restartAfter = 5 * time.Second
	restartGap   = 1300 * time.Millisecond
	// settleTime is the time from the last restart to the outage, which lasts for storeDown.
	settleTime = 5 * time.Second
	storeDown  = 4500 * time.Millisecond
)

// restartMachine restarts a machine and waits until all are ready.
func (s *site) restartMachine(m *vm) (err error) {
	s.rec.say("%s gets SIGTERM", m.name)
	if err := m.restart(); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	s.rec.say("%s is back", m.name)
	return nil
}

// loop runs turns of a program until one fails or there were n.
func (p *keptProgram) loop(n int) {
	for i := range n {
		t := p.turn(chatPath+"turn", p.id, "", fmt.Sprintf("question %d of %s", i, p.id))
		p.next.attempts = append(p.next.attempts, t.attempts...)
		p.next.last = t.last
		if !t.ok {
			return
		}
		time.Sleep(thinkTime + time.Duration(randomInt(int(thinkSpread))))
	}
}

func playOutage(s *site, trouble bool) (violations []string, err error) {
	var programs []*keptProgram
	for i := range outagePrograms {
		c := &consumer{site: s, zone: zones[i%len(zones)], keepsChannel: true}
		programs = append(programs, &keptProgram{program: newProgram(c, outageBudget, outageMost, 2*time.Minute)})
	}
	looped := make(chan struct{})
	go func() {
		forAll(programs, func(p *keptProgram) {
			time.Sleep(time.Duration(randomInt(int(startSpread))))
			p.loop(outageTurns)
		})
		close(looped)
	}()
	time.Sleep(restartAfter)
	if err := s.restartMachine(s.vms[2]); err != nil {
		return nil, err
	}
	<-looped
	statuses := map[int]int{}
	for _, p := range programs {
		statuses[p.next.last.status]++
	}
	s.rec.say("the programs have ended, by last status: %v", statuses)
	if statuses[http.StatusPaymentRequired] != len(programs) {
		return nil, fmt.Errorf("not all programs were told that their budgets are spent")
	}
	time.Sleep(restartGap)
	if err := s.restartMachine(s.vms[1]); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	if trouble {
		s.store.setDown(true)
		s.rec.say("the store is down")
		time.AfterFunc(storeDown, func() {
			s.store.setDown(false)
			s.rec.say("the store is back")
		})
		time.Sleep(time.Second)
	}
	s.rec.say("the programs return")
	forAll(programs, func(p *keptProgram) {
		// All at once they would make the store slow by themselves.
		time.Sleep(time.Duration(randomInt(int(startSpread))))
		p.loop(1)
	})
	time.Sleep(storeDown)
	most := 0
	for _, p := range programs {
		tokens := 0
		for _, a := range p.next.attempts {
			tokens += a.events * s.servers[0].kind.tokensPerEvent
		}
		most = max(most, tokens)
		if tokens > p.budget+p.most {
			violations = append(violations, fmt.Sprintf("BUDGET: program %s was handed %d tokens, its budget and one turn are %d", p.id, tokens, p.budget+p.most))
		}
	}
	s.rec.say("%d of %d programs were handed more than budget and one turn, %d tokens at most", len(violations), len(programs), most)
	return violations, nil
}
