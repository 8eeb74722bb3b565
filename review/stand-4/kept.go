package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/proof/hgsite"
)

const (
	// keptTries is the number of tries of the turn that is to go on, more than the five of the rule.
	keptTries = 9
	// reloadTurns is the number of turns of the program with a long history.
	reloadTurns = 17
	// loopTurns is the number of turns of the program that starts sub-agents without end, of which loopAtOnce run at a time.
	loopTurns, loopAtOnce = 4300, 24
	keptBudget            = 1_000_000
	maxTurnTries          = 20
	// aimMs is the time within which the programs are to end, in milliseconds.
	aimMs = 110_000
)

var (
	// keptPause is the pause between two tries, and keptTime bounds the case.
	keptPause = 500 * time.Millisecond
	keptTime  = 110 * time.Second
)

// keptTurn returns a turn of a program with a large budget and an aim that lies behind the end of the case.
func keptTurn(program, previous, body string) hgsite.Request {
	q := hgsite.Turn(hgsite.ThreadPath, program, previous, body)
	q.TokensIn, q.Prefix, q.Budget = 1000, q.Prefix[:1], keptBudget
	q.Header = http.Header{"X-Program-Deadline-Ms": {fmt.Sprint(aimMs)}}
	return q
}

// playReload gives one program a history of 17 inputs of the largest legal size, stops and starts the VM that ran the last of its turns,
// and lets the program go on.
func playReload(s *stand) (verdict int, err error) {
	return s.playKept(func(cfg *hgconfig.EntryConfig) { cfg.VM.MemoryMB = 304 }, func(ctx context.Context) (program, last string, holder int, err error) {
		body := strings.Repeat("x", maxBody)
		call := 0
		for turn := range reloadTurns {
			done := false
			for try := 0; try < maxTurnTries && !done; try++ {
				q := keptTurn("long", last, body)
				q.NewConn = true
				reply, err := s.site.Call(ctx, call%len(s.vms), q)
				n, _ := s.replicas.bodyOf(q.ID)
				s.log("turn %d, try %d at %s, attempt %s: status %d, complete %t, %d bytes, error %v", turn, try, s.vms[call%len(s.vms)].cfg.VM.Name, q.ID, reply.Status, reply.Complete, n, err)
				if done = err == nil && reply.Status == http.StatusOK && reply.Complete; done {
					last, holder = q.ID, call%len(s.vms)
				}
				call++
			}
			if !done {
				return "", "", 0, fmt.Errorf("turn %d was not answered in %d tries", turn, maxTurnTries)
			}
		}
		return "long", last, holder, nil
	})
}

// playLoop gives one program more turns than a VM reads of it, stops and starts the VM that ran them, and lets the program go on from
// the one whose identifier comes last.
func playLoop(s *stand) (verdict int, err error) {
	return s.playKept(nil, func(ctx context.Context) (program, last string, holder int, err error) {
		var mu sync.Mutex
		var ids []string
		var wg sync.WaitGroup
		next := make(chan bool, loopTurns)
		for range loopTurns {
			next <- true
		}
		close(next)
		refused := map[int]int{}
		for range loopAtOnce {
			wg.Go(func() {
				for range next {
					q := keptTurn("loop", "", "start of a sub-agent")
					reply, err := s.site.Call(ctx, holder, q)
					_, ran := s.replicas.bodyOf(q.ID)
					s.log("turn %s of the loop at %s: status %d, complete %t, ran %t, error %v", q.ID, s.vms[holder].cfg.VM.Name, reply.Status, reply.Complete, ran, err)
					mu.Lock()
					if err == nil && reply.Status == http.StatusOK && reply.Complete {
						ids = append(ids, q.ID)
					} else {
						refused[reply.Status]++
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		if len(ids) == 0 {
			return "", "", 0, fmt.Errorf("no turn was answered: %v", refused)
		}
		slices.Sort(ids)
		last = ids[len(ids)-1]
		s.log("the program has %d turns that were answered whole, others %v; it goes on from %s", len(ids), refused, last)
		return "loop", last, holder, nil
	})
}

// playKept prepares a program and checks that a turn that was answered whole reaches a replica, after a planned restart of the VM that ran it.
func (s *stand) playKept(change func(cfg *hgconfig.EntryConfig), prepare func(ctx context.Context) (program, last string, holder int, err error)) (verdict int, err error) {
	d := hgsite.Desired(2)
	d.Limits.MaxBodyBytes = maxBody
	if err := s.site.SetDesired(d); err != nil {
		return 0, err
	}
	if err := s.addVMs(3, change); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), keptTime)
	defer cancel()
	if err := s.waitServing(ctx); err != nil {
		return 0, err
	}
	time.Sleep(calmTime)
	go s.enforceMemory(ctx)
	program, last, holder, err := prepare(ctx)
	if err != nil {
		return 0, err
	}
	if s.trouble {
		s.vms[holder].restart()
		if err := s.waitServing(ctx); err != nil {
			return 0, err
		}
	}
	time.Sleep(calmTime)
	others := s.startFirstTurns(ctx)
	unreached := 0
	for try := range keptTries {
		q := keptTurn(program, last, "go on")
		q.NewConn = true
		at := (holder + try) % len(s.vms)
		reply, err := s.site.Call(ctx, at, q)
		n, reached := s.replicas.bodyOf(q.ID)
		s.log("next turn, try %d at %s: status %d, reached a replica %t with %d bytes, error %v %.80s", try, s.vms[at].cfg.VM.Name, reply.Status, reached, n, err, lo.Ternary(reply.Status == http.StatusOK, "", reply.Body))
		if reached {
			break
		}
		unreached++
		time.Sleep(keptPause)
	}
	firsts, firstsReached := others()
	s.log("first turns of other programs: %d, of which %d reached a replica", firsts, firstsReached)
	s.log("tries of the turn that reached no replica: %d", unreached)
	if unreached >= 5 && 10*firstsReached >= 9*firsts {
		return broken, nil
	}
	return held, nil
}

func init() { cases["reload"], cases["loop"] = playReload, playLoop }
