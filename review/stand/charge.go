package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// chargeCase: one of three servers of a plain service fails some requests after their work was done, with status 503 and
// without X-Not-Executed.
var chargeCase = reviewCase{
	perZone: 1,
	prepare: func(s *site) error {
		if err := s.addServers(serverKind{service: "permit-desk", slots: 6, work: 40 * time.Millisecond}); err != nil {
			return err
		}
		s.setDesired(chargeRoute("permit-desk"))
		return nil
	},
	play: playCharge,
}

// greyPercent is the share of its requests that the server fails.
const greyPercent = 40

var (
	// chargeTime is how long clients charge fees. The server fails some from greyAfter on, for greyTime.
	chargeTime = 12 * time.Second
	greyAfter  = 3 * time.Second
	greyTime   = 5 * time.Second
)

func playCharge(s *site, trouble bool) (violations []string, err error) {
	var grey atomic.Bool
	failed := atomic.Int64{}
	s.servers[0].fail = func(run) int {
		if !grey.Load() || randomInt(100) >= greyPercent {
			return 0
		}
		failed.Add(1)
		return http.StatusServiceUnavailable
	}
	if trouble {
		time.AfterFunc(greyAfter, func() { grey.Store(true) })
		time.AfterFunc(greyAfter+greyTime, func() { grey.Store(false) })
	}
	var mu sync.Mutex
	var orders [][]answer
	var clients sync.WaitGroup
	end := time.Now().Add(chargeTime)
	for i := range 6 {
		clients.Go(func() {
			c := &consumer{site: s, zone: zones[i%len(zones)]}
			for time.Now().Before(end) {
				attempts := c.call(request{method: http.MethodPost, path: chargePath + "fee", body: "fee of order " + newID(), deadline: 2 * time.Second}, 1)
				mu.Lock()
				orders = append(orders, attempts)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	if trouble && failed.Load() == 0 {
		return nil, fmt.Errorf("the server failed no request")
	}
	runs := s.runsByAttempt()
	twice := 0
	for _, attempts := range orders {
		charged := 0
		for _, a := range attempts {
			n := len(runs[a.attempt])
			charged += n
			if n > 1 {
				violations = append(violations, fmt.Sprintf("TWICE: attempt %s ran %d times", a.attempt, n))
			}
			if a.isPromise() && n > 0 {
				violations = append(violations, fmt.Sprintf("REFUSED: attempt %s was answered %d and ran at %s", a.attempt, a.status, runs[a.attempt][0].Server))
			}
		}
		if charged > 1 {
			twice++
		}
	}
	s.rec.say("%d orders, %d requests failed at the server after their work, %d orders were charged twice", len(orders), failed.Load(), twice)
	return violations, nil
}
