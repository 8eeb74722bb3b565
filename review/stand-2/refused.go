package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of case 7. Machines and sizes are those of the site griddle-permits, as in case 8; its 9 machines get 20.1 programs a second, 3.91 of them kept.
const (
	refusedRate = 0.75
	// A burst brings refusedBurst times the usual for refusedBurstFor; refusedPause lies between two of them.
	refusedBurst = 2.1
	// refusedPrograms is the number of programs that begin in the calm, with a first turn of the mean size, and go on with a turn of the
	// largest. refusedTries are the tries from which on the rule counts a turn that reached no replica.
	refusedPrograms   = 20
	refusedTries      = 5
	refusedFirstBytes = 4_300
)

var (
	refusedBurstFor = 4 * time.Second
	refusedPause    = time.Second
	refusedFor      = 45 * time.Second
	// refusedCalm is more than contact_ms and than the span after a burst in which machines may count as slowed.
	refusedCalm = 7 * time.Second
	// refusedAim is 1.6 times the time of 18 turns on idle replicas, with 26 ms a turn for the way, and the objective of 200 ms.
	refusedAim = 3250 * time.Millisecond
)

// refusedLater lets programs come in bursts and then, in the calm, lets a few others begin.
func refusedLater(ctx context.Context, s *site, trouble bool) (broken []string, err error) {
	runs := newRuns()
	engine := func(id, zone string) *replica {
		return &replica{id: id, service: engines, zone: zone, slots: 16, queue: 48, events: 8, pause: 10 * time.Millisecond, began: runs.add}
	}
	if err := s.deploy(3, 3, engine, desired(1, 16)); err != nil {
		return nil, err
	}
	s.runTalks(ctx, trouble)
	s.rec.add("calm")
	time.Sleep(refusedCalm)
	for _, v := range s.vms {
		if v.hasExited() {
			return nil, fmt.Errorf("%s has ended", v.name)
		}
		used := v.anonMB()
		s.rec.add("%s has %.0f MB of %d", v.name, used, machineMB)
		if used > machineMB {
			return nil, fmt.Errorf("%s is over its memory, so that the platform would have ended it", v.name)
		}
	}
	return s.beginTalks(ctx, runs), nil
}

// runTalks starts programs at the usual rate, or with bursts, and waits for their ends.
func (s *site) runTalks(ctx context.Context, trouble bool) {
	var wg sync.WaitGroup
	var whole atomic.Int64
	began := time.Now()
	started := 0
	for at := 0.0; at < refusedFor.Seconds(); {
		time.Sleep(time.Until(began.Add(time.Duration(at * float64(time.Second)))))
		started++
		wg.Go(func() {
			if s.runTalk(ctx, &conversation{id: newID()}) {
				whole.Add(1)
			}
		})
		rate := refusedRate * float64(len(s.vms))
		cycle := (refusedBurstFor + refusedPause).Seconds()
		if inCycle := at - cycle*float64(int(at/cycle)); trouble && inCycle < refusedBurstFor.Seconds() {
			rate *= refusedBurst
		}
		at += 1 / rate
	}
	wg.Wait()
	s.rec.add("%d programs began, %d came to their end", started, whole.Load())
}

// runTalk runs the turns of a program; each goes to a machine at random.
func (s *site) runTalk(ctx context.Context, c *conversation) bool {
	for turn := range longTurns {
		q := c.turn(bytes.Repeat([]byte("abc "), longBytes/4), (turn+1)*longTokens)
		if _, ok := s.tryTurn(ctx, c, &q); !ok {
			return false
		}
		c.last = q.id
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// tryTurn sends a turn with the retries of consumers, each time to a machine at random, and leaves the last attempt in q. It returns the
// attempts.
func (s *site) tryTurn(ctx context.Context, c *conversation, q *request) (tries []string, ok bool) {
	for range 3 {
		for range 2 {
			v := s.vms[rand.IntN(len(s.vms))]
			q.id = newID()
			tries = append(tries, q.id)
			a := call(ctx, v.public, *q)
			s.rec.add("%s turn %s of %s: status %d %s, error %v", v.name, q.id, c.id, a.status, problem(a), a.err)
			if a.status == 200 && a.whole {
				return tries, true
			}
			if a.status != 503 {
				break
			}
			time.Sleep(min(a.retryAfter, q.deadline/3))
		}
		time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
	}
	return tries, false
}

// problem returns the body of an answer that is no success.
func problem(a answer) string {
	if a.status == 200 {
		return ""
	}
	return string(a.body)
}

// beginTalks lets programs begin in the calm and go on with a large turn, and returns what breaks the rule.
func (s *site) beginTalks(ctx context.Context, runs *runs) (broken []string) {
	firstReached, lost := 0, 0
	for range refusedPrograms {
		c := &conversation{id: newID()}
		began := time.Now()
		first := c.turn(bytes.Repeat([]byte("x"), refusedFirstBytes), longTokens/4)
		first.aim = refusedAim
		if _, ok := s.tryTurn(ctx, c, &first); !ok {
			s.rec.add("program %s could not begin", c.id)
			continue
		}
		firstReached++
		c.last = first.id
		next := c.turn(bytes.Repeat([]byte("abc "), longBytes/4), 2*longTokens)
		next.aim = refusedAim - time.Since(began)
		tries, ok := s.tryTurn(ctx, c, &next)
		reached := 0
		for _, id := range tries {
			if runs.has(id) {
				reached++
			}
		}
		took := time.Since(began)
		s.rec.add("program %s: its second turn reached a replica in %d of %d tries, %v after its begin", c.id, reached, len(tries), took)
		if !ok && reached == 0 && len(tries) >= refusedTries && took < refusedAim {
			lost++
		}
	}
	fmt.Printf("%d of %d first turns reach a replica; %d second turns reach none in %d tries or more\n", firstReached, refusedPrograms, lost, refusedTries)
	if lost > 0 && firstReached*10 >= refusedPrograms*9 {
		broken = append(broken, fmt.Sprintf("%d of %d turns whose previous turn has just been answered whole reach no replica in %d tries or more, in the calm", lost, firstReached, refusedTries))
	}
	return broken
}
