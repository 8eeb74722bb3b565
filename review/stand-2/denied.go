package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of case 9. The budget and the most of a turn are those of the pages' example, 8 turns; each turn generates its most, 32 events.
const (
	deniedPrograms = 120
	deniedTurns    = 8
	deniedEvents   = 32
	deniedOut      = deniedEvents * tokensPerEvent
	deniedBudget   = deniedTurns * deniedOut
	// deniedAtOnce is the number of programs under way at the same time.
	deniedAtOnce = 12
	// deniedCalm is more than grace_s and contact_ms.
	deniedCalm = 12 * time.Second
)

// deniedEarly removes a machine of each zone as planned and then, in the calm, runs programs whose budgets hold all their turns.
func deniedEarly(ctx context.Context, s *site, trouble bool) (broken []string, err error) {
	engine := func(id, zone string) *replica {
		return &replica{id: id, service: engines, zone: zone, slots: 16, queue: 48, events: deniedEvents, pause: 3 * time.Millisecond}
	}
	if err := s.deploy(6, 6, engine, desired(1, 16)); err != nil {
		return nil, err
	}
	left := s.vms
	if trouble {
		for _, v := range s.vms[3:] {
			s.rec.add("%s is stopped for good", v.name)
			v.signal(syscall.SIGTERM)
			time.Sleep(1300 * time.Millisecond)
		}
		left = s.vms[:3]
	}
	time.Sleep(deniedCalm)
	var mu sync.Mutex
	var wg sync.WaitGroup
	requests, denied, missing := 0, 0, 0
	places := make(chan struct{}, deniedAtOnce)
	for i := range deniedPrograms {
		wg.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			sent, early := s.runBudget(ctx, left, zones[i%3])
			mu.Lock()
			defer mu.Unlock()
			requests += sent
			if early > 0 {
				denied++
				missing += early
			}
		})
	}
	wg.Wait()
	line := fmt.Sprintf("%d of %d requests are answered 402 though the budget holds the turn; %d turns of %d programs were not served", denied, requests, missing, denied)
	s.rec.add("%s", line)
	fmt.Println(line)
	if float64(denied) > 5+float64(requests)/500 {
		broken = append(broken, line)
	}
	return broken, nil
}

// runBudget runs the turns of a program, one after the other. It returns the number of requests and, if one was answered 402 although the
// budget holds it, how many turns were left.
func (s *site) runBudget(ctx context.Context, directories []*vm, zone string) (sent, early int) {
	id := newID()
	delivered := 0
	for turn := range deniedTurns {
		for range 3 {
			address := resolve(ctx, directories, zone)
			q := request{
				id: newID(), path: chatPath + "t", body: []byte("hello"), program: id, session: id, budget: deniedBudget, in: 500, out: deniedOut, deadline: 4 * time.Second,
			}
			a := call(ctx, address, q)
			sent++
			delivered += len(a.events) * tokensPerEvent
			s.rec.add("turn %d of %s at %s: status %d %s, %d events, %d of %d tokens", turn+1, id, address, a.status, problem(a), len(a.events), delivered, deniedBudget)
			if a.status == 402 && delivered+deniedOut <= deniedBudget {
				return sent, deniedTurns - turn
			}
			if a.status == 200 && a.whole {
				break
			}
			time.Sleep(max(a.retryAfter, 100*time.Millisecond))
		}
		time.Sleep(20 * time.Millisecond)
	}
	return sent, 0
}

// resolve asks the nearest machine for addresses, as consumers do, and returns one at random.
func resolve(ctx context.Context, directories []*vm, zone string) string {
	d := directories[0]
	for _, v := range directories {
		if v.zone == zone {
			d = v
		}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.directory+"/v1/resolve?name="+host+"&region=r&zone="+zone, nil)
	if err != nil {
		return d.public
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return d.public
	}
	defer w.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(w.Body).Decode(&body) != nil || len(body.Addresses) == 0 {
		return d.public
	}
	return body.Addresses[rand.IntN(len(body.Addresses))]
}
