package hgproof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgstore"
)

// faultSeeds returns the seeds of TestRandomFaults. HGPROOF_SEED replaces them by one.
func faultSeeds(t *testing.T) []uint64 {
	t.Helper()
	s := os.Getenv("HGPROOF_SEED")
	if s == "" {
		return []uint64{1, 2, 44, 101}
	}
	seed, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return []uint64{seed}
}

// drainSeed is the first seed whose faults include planned stops by SIGTERM.
const drainSeed = 100

// injectFaults injects random faults one after the other until ctx ends: kills with restarts, suspensions that may outlast a takeover,
// lost replies and outages of the store, and, if drains is set, planned stops with restarts.
func (b *testBench) injectFaults(ctx context.Context, rnd *rand.Rand, drains bool) {
	kinds := 4
	if drains {
		kinds++
	}
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	counts := make([]int, kinds)
	defer func() { b.t.Logf("kills, freezes, lost replies, outages, planned stops: %v", counts) }()
	for ctx.Err() == nil {
		i := rnd.IntN(len(b.nodes))
		kind := rnd.IntN(kinds)
		counts[kind]++
		switch kind {
		case 0:
			b.kill(i)
			pause(time.Duration(rnd.IntN(2500)) * time.Millisecond)
			b.start(i)
		case 1:
			b.freeze(i)
			pause(time.Duration(1500+rnd.IntN(2500)) * time.Millisecond)
			b.resume(i)
		case 2:
			b.platform.Store.SetFault(hgstore.Fault{LoseReplies: 1 + rnd.IntN(5)})
		case 3:
			b.platform.Store.SetFault(hgstore.Fault{Down: true})
			pause(time.Duration(200+rnd.IntN(1000)) * time.Millisecond)
			b.platform.Store.SetFault(hgstore.Fault{})
		case 4:
			b.drain(i)
			b.start(i)
		}
		pause(time.Duration(200+rnd.IntN(1200)) * time.Millisecond)
	}
}

// logIfFailed prints each node's log since its last start if the test has failed.
func (b *testBench) logIfFailed() {
	if !b.t.Failed() {
		return
	}
	for _, n := range b.nodes {
		b.t.Logf("log of %s:\n%s", n.id, n.out)
	}
}

// TestRandomFaults replays a trace, which one depends on the seed, while nodes are killed, suspended and restarted and the store fails.
// Every program has to get its answers, and they have to be right. A request that was refused as not run may not have run, and a request
// that may not be repeated may run only once. Only if endpoints don't check fencing numbers may a program stop at a call that must not be
// repeated and was never dispatched: its new owner can't then rule out that the previous owner still dispatches it.
func TestRandomFaults(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		for _, seed := range faultSeeds(t) {
			t.Run(fmt.Sprintf("%d, fencing %t", seed, fencing), func(t *testing.T) { replayWithFaults(t, seed, fencing) })
		}
	}
}

// faultNodes returns the number of nodes for TestRandomFaults: HGPROOF_NODES, or else 4.
func faultNodes(t *testing.T) int {
	t.Helper()
	s := os.Getenv("HGPROOF_NODES")
	if s == "" {
		return 4
	}
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// replayWithFaults replays a trace with random faults during the first 12 s, and checks the outcomes against the endpoints' records.
func replayWithFaults(t *testing.T, seed uint64, fencing bool) {
	opts := quickEngine
	opts.ChecksFencing = fencing
	b := newTestBench(t, testBenchOptions{nodes: faultNodes(t), engines: 3, tools: 3, engine: opts})
	ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.injectFaults(ctx, rand.New(rand.NewPCG(seed, 0)), seed >= drainSeed)
	}()
	r := b.replay(t.Context(), []string{"derwent", "fjordbom"}[seed%2], "", 0.6)
	<-done
	records := b.executions()
	r.CheckRecords(records)
	t.Logf("done %d, undone %d, refusals %v, latency %+v", r.Done, r.Undone, r.Refusals, r.Latency())
	if diff := cmp.Diff([]string{}, r.Violations); diff != "" {
		t.Errorf("violations (-want +got):\n%s", diff)
	}
	allowed := 0
	if !fencing {
		allowed = len(r.Undetermined(records))
	}
	if r.Undone > allowed {
		t.Errorf("%d programs were not completed, %d calls with unknown outcome were never dispatched", r.Undone, allowed)
	}
}
