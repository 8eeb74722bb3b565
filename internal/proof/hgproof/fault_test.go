package hgproof

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgshard"
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgstandin"
	"hyssopgrade/internal/serve/hgcaller"
)

// shardOf returns a program's shard in a testBench, whose cell has 16.
func shardOf(program string) uint32 { return hgshard.Of(program, 16) }

// TestCrashingRequest sends ten requests whose content crashes any endpoint, each as a program of its own and in turn through all nodes, beside
// ordinary load. Nodes have to quarantine the content: at most two endpoints may crash, and the other programs have to finish.
func TestCrashingRequest(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 3, engines: 4, tools: 1, engine: quickEngine})
	b.setFault("engine", hgstandin.Fault{CrashOn: "poison", RestartMs: 300})
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() { b.converse(t.Context(), fmt.Sprintf("innocent-%d", i), 1, 12, nil) })
	}
	last := hgcall.Refusal{}
	for i := range 10 {
		c := model(fmt.Sprintf("guilty-%d", i), 1, "poison")
		c.Deadline = 5 * time.Second
		_, err := b.via(i%3).Call(t.Context(), c)
		if err == nil {
			t.Errorf("%s was answered", c.Request)
		}
		last = refusalOf(err)
	}
	wg.Wait()
	crashes := lo.SumBy(lo.Values(b.endpoints), func(e *hgstandin.Endpoint) int { return e.Crashes() })
	t.Logf("%d crashes, last refusal %+v", crashes, last)
	if crashes > 2 || crashes == 0 {
		t.Errorf("%d endpoints crashed", crashes)
	}
	if diff := cmp.Diff(hgcall.ReasonQuarantined, last.Reason); diff != "" {
		t.Errorf("last refusal (-want +got):\n%s", diff)
	}
}

// TestCrashingCopiesAtOnce sends twelve copies of a request that crashes its endpoint at the same time, each as a program of its own, so
// that different nodes dispatch them before any has seen a crash. At most two endpoints may crash, and twelve copies of a harmless request,
// sent at the same time, have to be answered.
func TestCrashingCopiesAtOnce(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 3, engines: 4, tools: 1, engine: quickEngine})
	b.setFault("engine", hgstandin.Fault{CrashOn: "poison", RestartMs: 300})
	var wg sync.WaitGroup
	for i := range 24 {
		text := lo.Ternary(i%2 == 0, "poison", "harmless")
		c := model(fmt.Sprintf("%s-%d", text, i), 1, text)
		c.Deadline = 10 * time.Second
		wg.Go(func() {
			a, err := b.via(i%3).Call(t.Context(), c)
			if done := err == nil && a.State == hgcall.Done; done != (text == "harmless") {
				t.Errorf("%s: %v %v", c.Request, a.State, err)
			}
		})
	}
	wg.Wait()
	crashes := lo.SumBy(lo.Values(b.endpoints), func(e *hgstandin.Endpoint) int { return e.Crashes() })
	if crashes > 2 || crashes == 0 {
		t.Errorf("%d endpoints crashed", crashes)
	}
}

// TestHungTool checks that a call to a tool that never answers ends at its deadline with the outcome unknown, that the tool got the call
// only once, and that a repeat of the call gets the same outcome.
func TestHungTool(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 2, engines: 1, tools: 1, engine: quickEngine})
	b.setFault("tool", hgstandin.Fault{Hang: true})
	for idempotent, reason := range map[bool]hgcall.Reason{true: hgcall.ReasonDeadline, false: hgcall.ReasonOutcomeLost} {
		c := tool(fmt.Sprintf("hung-%t", idempotent), 1, "gate/open", idempotent)
		c.Deadline = 1500 * time.Millisecond
		began := time.Now()
		_, err := b.client.Call(t.Context(), c)
		if took := time.Since(began); took > c.Deadline+time.Second {
			t.Errorf("ended after %s", took)
		}
		if n := len(b.runs(c.Request)); n != 1 {
			t.Errorf("%s ran %d times", c.Request, n)
		}
		_, again := b.client.Call(t.Context(), c.WithDeadline(5*time.Second))
		for _, err := range []error{err, again} {
			if r := refusalOf(err); r.Kind != hgcall.KindUnknown || r.Reason != reason {
				t.Errorf("outcome of a hung call, idempotent %t: %v", idempotent, err)
			}
		}
	}
}

// callUntilRun sends a call until it has an outcome other than a retriable "not run", after which it uses a new identifier. It returns how
// often the call was sent under all identifiers.
func (b *testBench) callUntilRun(ctx context.Context, c hgcall.Call) (a hgcaller.Answer, attempts int, err error) {
	request := c.Request
	for try := 0; ; try++ {
		c.Request = fmt.Sprintf("%s-%d", request, try)
		a, err = b.client.Call(ctx, c)
		attempts += a.Tries
		r := refusalOf(err)
		if r.Kind != hgcall.KindNotRun || r.RetryAfter == 0 {
			return a, attempts, err
		}
		time.Sleep(r.RetryAfter)
	}
}

// TestNoRetryStormAfterOutage sends calls during a store outage of 3 s. Afterwards each has to be answered, dispatches may exceed the calls
// only by the preset's share of retries (10 %), and each caller may send its call once per second of the outage and twice more.
func TestNoRetryStormAfterOutage(t *testing.T) {
	const calls, retryPercent = 90, 10
	const outage, maxAttempts = 3 * time.Second, 3 + 2
	b := newTestBench(t, testBenchOptions{nodes: 3, engines: 3, tools: 1, engine: quickEngine})
	b.platform.Store.SetFault(hgstore.Fault{Down: true})
	time.AfterFunc(outage, func() { b.platform.Store.SetFault(hgstore.Fault{}) })
	var wg sync.WaitGroup
	for i := range calls {
		c := model(fmt.Sprintf("outage-%d", i), 1, fmt.Sprintf("question %d", i))
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			a, attempts, err := b.callUntilRun(t.Context(), c)
			if err != nil || a.State != hgcall.Done || attempts > maxAttempts {
				t.Errorf("%s: %v %v after %d attempts", c.Request, a.State, err, attempts)
			}
		})
	}
	wg.Wait()
	if n := len(b.executions()); n > calls*(100+retryPercent)/100 {
		t.Errorf("%d dispatches of %d calls", n, calls)
	}
}

// TestStoreOutage makes the store unreachable. The end of a program has to be refused within 3 s with a retry-after time, a call sent
// during the outage has to run once and be answered afterwards, and the history answered before the outage has to be complete.
func TestStoreOutage(t *testing.T) {
	b := newTestBench(t, testBenchOptions{nodes: 3, engines: 2, tools: 1, engine: quickEngine})
	seen := b.converse(t.Context(), "outage", 1, 2, nil)
	b.platform.Store.SetFault(hgstore.Fault{Down: true})
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var body any
	began := time.Now()
	err := b.client.Post(ctx, b.nodes[0].public, "/v1/programs/end", map[string]string{"program": "outage"}, &body)
	if r := refusalOf(err); r.Kind != hgcall.KindUnavailable || r.RetryAfter == 0 {
		t.Errorf("end during the outage: %v", err)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("refused after %s", took)
	}
	during := tool("during", 1, "payment/charge", false)
	answered := make(chan error, 1)
	go func() {
		_, err := b.client.Call(t.Context(), during)
		answered <- err
	}()
	time.Sleep(4 * time.Second)
	b.platform.Store.SetFault(hgstore.Fault{})
	if err := <-answered; err != nil {
		t.Errorf("call sent during the outage: %v", err)
	}
	if n := len(b.runs(during.Request)); n != 1 {
		t.Errorf("%s ran %d times", during.Request, n)
	}
	b.checkHistory("outage", seen)
}
