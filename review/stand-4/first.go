package main

import (
	"context"
	"sync"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

// firstTurnPeriod is the time between two first turns of other programs.
var firstTurnPeriod = 200 * time.Millisecond

// startFirstTurns sends first turns of other programs with small inputs to the VMs in turn, and to the next one if a VM breaks the
// channel. The returned function ends that and returns how many there were and how many reached a replica.
func (s *stand) startFirstTurns(ctx context.Context) (end func() (sent, reached int)) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	sent, reached := 0, 0
	wg.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			ran := false
			for try := 0; try < 2 && !ran && ctx.Err() == nil; try++ {
				q := hgsite.Turn(hgsite.ThreadPath, "other"+hgsite.NewAttempt(), "", "a small input")
				q.NewConn = true
				reply, err := s.site.Call(ctx, (i+try)%len(s.vms), q)
				_, ran = s.replicas.bodyOf(q.ID)
				s.log("first turn %s at %s: status %d, ran %t, error %v", q.ID, s.vms[(i+try)%len(s.vms)].cfg.VM.Name, reply.Status, ran, err)
			}
			if ctx.Err() != nil {
				return
			}
			if sent++; ran {
				reached++
			}
			time.Sleep(firstTurnPeriod)
		}
	})
	return func() (int, int) {
		cancel()
		wg.Wait()
		return sent, reached
	}
}
