package main

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/proof/hgsite"
)

const (
	// longInput is the size of the program's first input and longTokens that of the prompt, which fits into an engine's memory of
	// engineTokens, as on kvemo-tbilisi-grown. vmMemoryMB is the memory of the smallest VM there.
	longInput    = 160 << 10
	longTokens   = longInput / 4
	engineTokens = 54_216
	vmMemoryMB   = 112
	slowTries    = 14
	// slowReceiveBytes is the size of a replica's receive buffer.
	slowReceiveBytes = 16 << 10
)

var (
	// slowPause is how long a replica pauses while it reads a body. Consumer and route allow 4 s for the turn, and a
	// consumer waits for the first event for 2 s.
	slowPause = 1900 * time.Millisecond
	// slowCalmTime is the platform's contact_ms there, with a margin.
	slowCalmTime = 5 * time.Second
	// slowTime bounds the case.
	slowTime = 60 * time.Second
)

// playSlowRead sends a kept turn to replicas that read slowly.
func playSlowRead(s *stand) (verdict int, err error) {
	d := hgsite.Desired(2)
	d.Services[hgsite.Engines].Engine.CacheTokens = engineTokens
	if err := s.site.SetDesired(d); err != nil {
		return 0, err
	}
	if err := s.addVMs(3, func(cfg *hgconfig.EntryConfig) { cfg.VM.MemoryMB = vmMemoryMB }); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), slowTime)
	defer cancel()
	if err := s.waitServing(ctx); err != nil {
		return 0, err
	}
	time.Sleep(slowCalmTime)
	others := s.startFirstTurns(ctx)
	first := keptTurn("slow", "", strings.Repeat("x", longInput))
	first.NewConn, first.TokensIn = true, longTokens
	reply, err := s.site.Call(ctx, 0, first)
	s.log("first turn %s: status %d, complete %t, error %v", first.ID, reply.Status, reply.Complete, err)
	if s.trouble {
		s.replicas.setPause(slowPause)
	}
	unreached := 0
	for try := range slowTries {
		q := keptTurn("slow", first.ID, "go on")
		q.NewConn, q.TokensIn = true, longTokens
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
