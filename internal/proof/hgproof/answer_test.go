package hgproof

import (
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/proof/hgstandin"
)

// TestWholeAnswers checks that each caller gets the complete answer to its own request, although engines and tools break answers off,
// lose them, or return them under another request's identifier.
func TestWholeAnswers(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 3, engines: 2, tools: 2, engine: quickEngine})
	b.setFault("engine", hgstandin.Fault{Crossed: 4, CutPieces: 6})
	b.setFault("tool", hgstandin.Fault{Crossed: 4, LoseReplies: 4})
	var wg sync.WaitGroup
	for i := range 20 {
		id := fmt.Sprintf("whole-%d", i)
		wg.Go(func() {
			b.converse(t.Context(), id, 1, 3, nil)
			c := tool(id, 4, "register/lookup", true)
			a, err := b.client.Call(t.Context(), c)
			if err != nil {
				t.Errorf("%s: %v", c.Request, err)
				return
			}
			if diff := cmp.Diff(fmt.Sprintf(`{"operation":"lookup","request":%q}`, c.Request), string(a.Body)); diff != "" {
				t.Errorf("answer to %s (-want +got):\n%s", c.Request, diff)
			}
		})
	}
	wg.Wait()
}
