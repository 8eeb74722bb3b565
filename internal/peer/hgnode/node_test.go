package hgnode

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
)

// TestNothingStartsAfterTheEnd guards against goroutines that outlive a node: peers' messages that arrive while the node
// closes must start nothing, and what they started before must have ended when the node has closed.
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
		n.stopBackground()
		n.wg.Wait()
		if left := running.Load(); left != 0 {
			t.Fatalf("%d background functions still run after the node has closed", left)
		}
		messages.Wait()
		if left := running.Load(); left != 0 {
			t.Fatalf("%d background functions started after the node has closed", left)
		}
	}
}
