package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"hyssopgrade/hgstore"
)

// Figures of case 6. Budget and most of a turn are as in the pages' example, 8 turns, the rate is that of the site griddle-permits, and so
// is the number of engines.
const (
	partsRate = 20.0
	// partsShare is the number of the store's 16 parts that are down at the same time, for partsDown; partsPause lies between.
	partsShare = 5
	// partsLines is the number of helpers of a program, which begin after its first turn.
	partsLines = 6
	// partsFirst is the input of a first turn, which has one event: an engine takes 2.55 ms for each of its 9 tokens.
	partsFirst = "hello"
	partsOut   = 8 * tokensPerEvent
	partsTurns = 8
	// partsRefused is how often a program that loops without end sends a turn that is answered 402.
	partsRefused = 3
)

var (
	partsFor   = 80 * time.Second
	partsDown  = 1200 * time.Millisecond
	partsPause = 1300 * time.Millisecond
)

// partsBudget runs programs that loop until their budget is spent, while parts of the store are down for a moment.
func partsBudget(ctx context.Context, s *site, trouble bool) (broken []string, err error) {
	engine := func(id, zone string) *replica {
		return &replica{id: id, service: engines, zone: zone, slots: 16, queue: 48, events: 8, pause: 23 * time.Millisecond, count: func(body []byte) int {
			if string(body) == partsFirst {
				return 1
			}
			return 8
		}}
	}
	if err := s.deploy(9, len(zones), engine, desired(1, 16)); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	go s.breakParts(stop, trouble)
	var mu sync.Mutex
	var wg sync.WaitGroup
	programs, most := 0, 0
	began := time.Now()
	for i := 0; time.Since(began) < partsFor; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(float64(i) / partsRate * float64(time.Second)))))
		wg.Go(func() {
			id := newID()
			n := s.loop(ctx, id)
			mu.Lock()
			defer mu.Unlock()
			programs++
			most = max(most, n)
			if n > partsTurns*partsOut+partsOut {
				broken = append(broken, fmt.Sprintf("program %s got %d tokens; its budget is %d, the most of one turn %d", id, n, partsTurns*partsOut, partsOut))
			}
		})
	}
	close(stop)
	wg.Wait()
	fmt.Printf("%d programs, %d of them over budget and one turn; the largest got %d tokens of %d + %d\n", programs, len(broken), most, partsTurns*partsOut, partsOut)
	return broken, nil
}

// loop runs a program that starts helpers until it is stopped, and returns the tokens that it got.
func (s *site) loop(ctx context.Context, id string) (tokens int) {
	var mu sync.Mutex
	line := func(turns int, input string) {
		for refused := 0; turns > 0 && refused < partsRefused; turns-- {
			v := s.vms[rand.IntN(len(s.vms))]
			q := request{id: newID(), path: chatPath + "t", body: []byte(input), program: id, session: id, budget: partsTurns * partsOut, in: 500, out: partsOut, deadline: 4 * time.Second}
			a := call(ctx, v.public, q)
			mu.Lock()
			tokens += len(a.events) * tokensPerEvent
			s.rec.add("%s turn %s of %s: status %d, %d events, error %v; the program has %d tokens", v.name, q.id, id, a.status, len(a.events), a.err, tokens)
			mu.Unlock()
			switch a.status {
			case 402:
				refused++
			case 200:
			default:
				time.Sleep(max(a.retryAfter, 100*time.Millisecond))
			}
		}
	}
	line(1, partsFirst)
	var wg sync.WaitGroup
	for range partsLines {
		wg.Go(func() { line(40, "helper") })
	}
	wg.Wait()
	return tokens
}

// breakParts takes some parts of the store down for a moment, again and again.
func (s *site) breakParts(stop <-chan struct{}, trouble bool) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(partsPause):
		}
		if !trouble {
			continue
		}
		var names []string
		for _, p := range rand.Perm(16)[:partsShare] {
			names = append(names, fmt.Sprintf("%02d", p))
		}
		s.rec.add("parts %v of the store give no answer", names)
		s.memory.SetFault(hgstore.Fault{Silent: names})
		time.Sleep(partsDown)
		s.memory.SetFault(hgstore.Fault{})
		s.rec.add("all parts of the store answer")
	}
}
