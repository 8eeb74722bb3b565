package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/proof/hgsite"
)

const (
	// crowdBody is the size of the inputs of the crowd, an eighth of the largest legal one. Each of crowdSenders at each VM sends one turn
	// after the other.
	crowdBody    = maxBody / 8
	crowdSenders = 2
	// shortBody is the size of every other input of the crowd.
	shortBody = 16 << 10
	// nextInput is the size of the input of the turn that is to be served after the crowd has left, four times that of a usual turn.
	nextInput = 20 << 10
	// nextTries is the number of tries of that turn, more than the five of the rule.
	nextTries = 9
	// programs is the number of programs that go on after the crowd.
	programs = 3
)

var (
	// A sender pauses for crowdPause before each turn, and leaves after crowdSending.
	crowdPause   = 20 * time.Millisecond
	crowdSending = 15 * time.Second
	// nextPause is the pause between two tries, and crowdTime bounds the case.
	nextPause = time.Second
	crowdTime = 100 * time.Second
)

// playCrowd sends many turns with inputs of the largest legal size, each of a program of its own, and lets other programs go on once the
// senders have left.
func playCrowd(s *stand) (verdict int, err error) {
	d := hgsite.Desired(2)
	d.Limits.MaxBodyBytes = maxBody
	if err := s.site.SetDesired(d); err != nil {
		return 0, err
	}
	if err := s.addVMs(3, nil); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	if err := s.waitServing(ctx); err != nil {
		return 0, err
	}
	time.Sleep(calmTime)
	go s.enforceMemory(ctx)
	previous := map[int]string{}
	body := strings.Repeat("x", lo.Ternary(s.trouble, crowdBody, smallBody))
	short := strings.Repeat("x", shortBody)
	var wg sync.WaitGroup
	began := time.Now()
	for sender := range crowdSenders * len(s.vms) {
		i := sender % len(s.vms)
		wg.Go(func() {
			for k := 0; time.Since(began) < crowdSending; k++ {
				time.Sleep(crowdPause)
				input := lo.Ternary(s.trouble && k%2 == 1, short, body)
				q := keptTurn("crowd"+hgsite.NewAttempt(), "", input)
				q.NewConn = true
				reply, err := s.site.Call(ctx, i, q)
				_, ran := s.replicas.bodyOf(q.ID)
				s.log("crowd %d, %d bytes, at %s, attempt %s: status %d, complete %t, ran %t, error %v %.60s", k, len(input), s.vms[i].cfg.VM.Name, q.ID, reply.Status, reply.Complete, ran, err, lo.Ternary(reply.Status == 200, "", reply.Body))
			}
		})
	}
	wg.Wait()
	s.log("the crowd has left")
	time.Sleep(calmTime)
	others := s.startFirstTurns(ctx)
	for p := range programs {
		q := keptTurn("program"+hgsite.NewAttempt(), "", "the first input")
		q.NewConn = true
		reply, err := s.site.Call(ctx, p%len(s.vms), q)
		s.log("first turn %s of program %s: status %d, complete %t, error %v", q.ID, q.Program, reply.Status, reply.Complete, err)
		if err != nil || reply.Status != 200 || !reply.Complete {
			continue
		}
		previous[p] = q.ID + " " + q.Program
	}
	lost := 0
	var mu sync.Mutex
	for p, ids := range previous {
		wg.Go(func() {
			id, program, _ := strings.Cut(ids, " ")
			unreached := 0
			for try := range nextTries {
				q := keptTurn(program, id, strings.Repeat("y", nextInput))
				q.NewConn = true
				reply, err := s.site.Call(ctx, (p+try)%len(s.vms), q)
				_, reached := s.replicas.bodyOf(q.ID)
				s.log("next turn of %s, try %d at %s: status %d, reached a replica %t, error %v %.60s", program, try, s.vms[(p+try)%len(s.vms)].cfg.VM.Name, reply.Status, reached, err, lo.Ternary(reply.Status == 200, "", reply.Body))
				if reached {
					break
				}
				unreached++
				time.Sleep(nextPause)
			}
			mu.Lock()
			defer mu.Unlock()
			lost += lo.Ternary(unreached >= 5, 1, 0)
		})
	}
	wg.Wait()
	firsts, firstsReached := others()
	s.log("first turns of other programs: %d, of which %d reached a replica", firsts, firstsReached)
	for _, v := range s.vms {
		v.mu.Lock()
		s.log("%s: peak %d KB resident of %g MB, killed for its memory %d times", v.cfg.VM.Name, v.peakKB, v.cfg.VM.MemoryMB, v.overs)
		v.mu.Unlock()
	}
	s.log("turns that reached no replica in five tries: %d of %d", lost, len(previous))
	if len(previous) == 0 {
		return 0, fmt.Errorf("no program began after the crowd")
	}
	if lost > 0 && 10*firstsReached >= 9*firsts {
		return broken, nil
	}
	return held, nil
}

func init() { cases["crowd"] = playCrowd }
