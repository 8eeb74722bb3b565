package main

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/proof/hgsite"
)

const (
	slowTime = 60 * time.Second
	// slowPause is how long a replica pauses while it reads a body. Consumer and route allow 4 s.
	slowPause = 2500 * time.Millisecond
	// longInput is the size of the program's first input, about the 150,000 tokens of history that a program may have.
	longInput = 400 << 10
	slowTries = 14
	// slowReceiveBytes is the size of a replica's receive buffer.
	slowReceiveBytes = 64 << 10
)

// playSlowRead sends a kept turn to replicas that read slowly.
func playSlowRead(s *stand) (verdict int, err error) {
	if err := s.site.SetDesired(hgsite.Desired(2)); err != nil {
		return 0, err
	}
	if err := s.addVMs(3, nil); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), slowTime)
	defer cancel()
	if err := s.waitServing(ctx); err != nil {
		return 0, err
	}
	time.Sleep(calmTime)
	others := s.startFirstTurns(ctx)
	first := keptTurn("slow", "", strings.Repeat("x", longInput))
	first.NewConn = true
	reply, err := s.site.Call(ctx, 0, first)
	s.log("first turn %s: status %d, complete %t, error %v", first.ID, reply.Status, reply.Complete, err)
	if s.trouble {
		s.replicas.setPause(slowPause)
	}
	unreached := 0
	for try := range slowTries {
		q := keptTurn("slow", first.ID, "go on")
		q.NewConn = true
		reply, err := s.site.Call(ctx, try%len(s.vms), q)
		n, ran := s.replicas.bodyOf(q.ID)
		offered := s.replicas.wasOffered(q.ID)
		s.log("next turn, try %d at %s: status %d after %v, head reached a replica %t, ran %t with %d bytes, error %v %.80s", try, s.vms[try%len(s.vms)].cfg.VM.Name, reply.Status, reply.Took, offered, ran, n, err, lo.Ternary(reply.Status == http.StatusOK, "", reply.Body))
		if ran {
			break
		}
		if !offered {
			unreached++
		}
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

func init() { cases["slowread"] = playSlowRead }
