package main

import (
	"context"
	"strings"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/proof/hgsite"
)

const (
	// maxBody is max_body_bytes of the desired state and the size of each turn's input; smallBody is the size of usual inputs.
	maxBody   = 4 << 20
	smallBody = 4 << 10
	// chainTurns is the number of turns of the program, each of which continues the one before.
	chainTurns = 12
	// chainTries bounds the attempts at one turn.
	chainTries = 24
	// faultEnds is the number of ends by itself that makes a VM count for the rule, and faultVMs the number of such VMs.
	faultEnds, faultVMs = 3, 2
)

var (
	// calmTime is the platform's contact_ms, with a margin: all VMs are in touch after it.
	calmTime = 4 * time.Second
	// chainTime bounds the case.
	chainTime = 90 * time.Second
)

// playChain runs one program whose turns have inputs of the largest legal size, one after the other. The platform kills a process that
// exceeds the memory of its machine.
func playChain(s *stand) (verdict int, err error) {
	d := hgsite.Desired(2)
	d.Limits.MaxBodyBytes = maxBody
	if err := s.site.SetDesired(d); err != nil {
		return 0, err
	}
	if err := s.addVMs(3, nil); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), chainTime)
	defer cancel()
	if err := s.waitServing(ctx); err != nil {
		return 0, err
	}
	time.Sleep(calmTime)
	go s.enforceMemory(ctx)
	others := s.startFirstTurns(ctx)
	body := strings.Repeat("x", lo.Ternary(s.trouble, maxBody, smallBody))
	previous, call, lost := "", 0, 0
	for turn := 0; turn < chainTurns; turn++ {
		answered := false
		unreached := 0
		for try := 0; try < chainTries && !answered && ctx.Err() == nil; try++ {
			q := keptTurn("chain", previous, body)
			q.NewConn = true
			call++
			reply, err := s.site.Call(ctx, call%len(s.vms), q)
			n, reached := s.replicas.bodyOf(q.ID)
			s.log("turn %d, try %d at %s, attempt %s: status %d, complete %t, reached a replica %t with %d bytes, error %v", turn, try, s.vms[call%len(s.vms)].cfg.VM.Name, q.ID, reply.Status, reply.Complete, reached, n, err)
			if !reached {
				unreached++
			}
			if answered = err == nil && reply.Status == 200 && reply.Complete; answered {
				previous = q.ID
			} else {
				time.Sleep(300 * time.Millisecond)
			}
		}
		if unreached >= 5 {
			lost++
			s.log("turn %d reached no replica in %d tries", turn, unreached)
		}
		if !answered {
			break
		}
	}
	firsts, firstsReached := others()
	s.log("first turns of other programs: %d, of which %d reached a replica", firsts, firstsReached)
	faulty := 0
	for _, v := range s.vms {
		v.mu.Lock()
		s.log("%s: peak %d KB resident of %g MB, killed for its memory %d times", v.cfg.VM.Name, v.peakKB, v.cfg.VM.MemoryMB, v.overs)
		if v.overs >= faultEnds {
			faulty++
		}
		v.mu.Unlock()
	}
	s.log("VMs that ended by themselves %d times or more: %d of %d; turns that reached no replica in five tries: %d", faultEnds, faulty, len(s.vms), lost)
	if faulty >= faultVMs || lost > 0 && 10*firstsReached >= 9*firsts {
		return broken, nil
	}
	return held, nil
}

func init() { cases["chain"] = playChain }
