package hgnode

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
)

// Nothing starts beside a node from its end on, also when messages of peers come meanwhile, and what started has ended then.
func TestNothingStartsAfterTheEnd(t *testing.T) {
	for range 200 {
		n := &Node{}
		n.ctx, n.cancel = context.WithCancel(t.Context())
		var running atomic.Int64
		var messages sync.WaitGroup
		for range 8 {
			messages.Go(func() {
				for range 20 {
					n.background(func() {
						running.Add(1)
						<-n.ctx.Done()
						running.Add(-1)
					})
				}
			})
		}
		n.endBackground()
		n.wg.Wait()
		if left := running.Load(); left != 0 {
			t.Fatalf("%d still run after the end", left)
		}
		messages.Wait()
		if left := running.Load(); left != 0 {
			t.Fatalf("%d started after the end", left)
		}
	}
}
