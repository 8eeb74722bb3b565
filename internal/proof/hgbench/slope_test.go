package hgbench

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net/rpc"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgprogram"
	"hyssopgrade/hgquarantine"
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/peer/hgnoderpc"
	"hyssopgrade/internal/state/hgjournal"
)

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestSlopes prints the figures of docs/CAPACITY.md: how costs grow with the size of a cell or its load, each at three
// sizes or more. It checks nothing, so it runs only if HGBENCH_SLOPES is set.
func TestSlopes(t *testing.T) {
	if os.Getenv("HGBENCH_SLOPES") == "" {
		t.Skip("HGBENCH_SLOPES is not set")
	}
	t.Run("heartbeat", heartbeatSlope)
	t.Run("records", recordSlope)
	t.Run("memory", memorySlope)
	t.Run("recovery", recoverySlope)
	for _, nodes := range []int{1, 3} {
		t.Run(fmt.Sprintf("path, nodes %d", nodes), func(t *testing.T) { pathSlope(t, nodes) })
	}
	t.Run("turns", turnSlope)
	t.Run("preset", presetSlope)
	t.Run("handover", handoverSlope)
	t.Run("idle", idleSlope)
}

// newBeat returns the heartbeat of a node in a cell of the given number of nodes, with five replicas per node.
func newBeat(nodes, shards int) hgnoderpc.Beat {
	names, calls, held := []string{}, map[string]int{}, map[string]int{}
	for i := range 5 * nodes {
		id := fmt.Sprintf("engine-%03d", i)
		names = append(names, id)
		calls[id], held[id] = 3+i%7, 50_000+i*977
	}
	b := hgnoderpc.Beat{Shards: map[uint32]uint64{}, Loads: hgnoderpc.NewLoads(names, calls, held), Stamp: time.Hour, Echo: time.Hour}
	b.ID, b.Run, b.EchoRun = "node-000", "node-000-6a8f1f0e0000", "node-001-6a8f1f0e0000"
	for i := range shards / nodes {
		b.Shards[uint32(i*nodes)] = uint64(100 + i)
	}
	return b
}

// heartbeatSlope measures the size of a heartbeat on an established connection, and the time to encode and decode it.
func heartbeatSlope(t *testing.T) {
	t.Log("nodes in cell, replicas, bytes per heartbeat, µs per heartbeat, bytes/s sent and received per node at 500 ms")
	for _, nodes := range []int{5, 10, 20, 40} {
		b := newBeat(nodes, 64)
		var buf bytes.Buffer
		enc, dec := gob.NewEncoder(&buf), gob.NewDecoder(&buf)
		const rounds = 2000
		size := 0
		start := processorTime()
		for i := range rounds {
			if err := enc.Encode(b); err != nil {
				t.Fatal(err)
			}
			if i > 0 {
				size = buf.Len()
			}
			var got hgnoderpc.Beat
			if err := dec.Decode(&got); err != nil {
				t.Fatal(err)
			}
		}
		took := (processorTime() - start) / rounds
		// A node has two exchanges a second with each peer, with one heartbeat in each direction.
		t.Logf("%d, %d, %d, %.1f, %d", nodes, 5*nodes, size, float64(took)/1e3, size*(nodes-1)*2*2)
	}
}

// openAndAnswer returns the records of a model call whose prompt and answer have size bytes each.
func openAndAnswer(s *hgprogram.Shard, program string, seq uint64, size int) []hgprogram.Record {
	c := hgcall.Call{
		Program: program, Seq: seq, Request: fmt.Sprintf("%s-%d", program, seq), Kind: hgcall.Model, Target: "m", MaxTokens: 100,
		Messages: []hgcall.Message{{Role: "user", Content: strings.Repeat("w", size)}}, Deadline: time.Minute,
	}
	recs := s.Begin(c, hgprogram.Defaults{BudgetTokens: 1 << 39, MaxTokens: 100}, 0).(hgprogram.Run).Records
	r := hgcall.Result{State: hgcall.Done, Answer: bytes.Repeat([]byte("a"), size), InputTokens: uint64(size / 4), OutputTokens: uint64(size / 4)}
	return append(recs, s.Finish(program, c.Request, r, 0)...)
}

// recordSlope measures the records of a call: processor time in the state machine and the codec, and bytes in the journal.
func recordSlope(t *testing.T) {
	t.Log("calls per batch, bytes of text per call, journal bytes per call, µs per call")
	for _, n := range []int{10, 100, 1000} {
		for _, size := range []int{400, 1600} {
			const rounds = 20
			bytesPerCall := 0
			start := processorTime()
			for range rounds {
				s := hgprogram.NewShard()
				var recs []hgprogram.Record
				for i := range n {
					recs = append(recs, openAndAnswer(s, fmt.Sprintf("p%d", i), 1, size)...)
				}
				data, err := hgjournal.BatchCodec.Encode(hgjournal.Batch{Entries: []hgjournal.Entry{{Records: recs}}})
				if err != nil {
					t.Fatal(err)
				}
				bytesPerCall = len(data) / n
			}
			t.Logf("%d, %d, %d, %.1f", n, 2*size, bytesPerCall, float64(processorTime()-start)/1e3/float64(n*rounds))
		}
	}
}

// memorySlope measures the heap memory of programs with ten turns, by the size of their texts.
func memorySlope(t *testing.T) {
	t.Log("programs, bytes of text per program, heap bytes per program")
	heapBytes()
	for _, n := range []int{500, 2000, 8000} {
		for _, size := range []int{100, 1000} {
			before := int64(heapBytes())
			s := hgprogram.NewShard()
			for i := range n {
				for seq := range uint64(10) {
					openAndAnswer(s, fmt.Sprintf("p%d", i), seq+1, size)
				}
			}
			t.Logf("%d, %d, %d", n, 20*size, (int64(heapBytes())-before)/int64(n))
			runtime.KeepAlive(s)
		}
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// ignoreEvents is a hgjournal.Events that does nothing.
type ignoreEvents struct{}

func (ignoreEvents) Committed(uint32, uint64)           {}
func (ignoreEvents) LostShard(uint32)                   {}
func (ignoreEvents) CommitDone(int, int, time.Duration) {}

// recoverySlope measures the recovery of a shard's state from the store, by the number of records.
func recoverySlope(t *testing.T) {
	t.Log("records, reads of the platform, ms of processor time, ms per 1,000 records")
	for _, calls := range []int{500, 2500, 10_000} {
		store := hgstore.NewMemory()
		ctx, cancel := context.WithCancel(t.Context())
		w := hgjournal.NewCommitter(store, "run", ignoreEvents{}, hgjournal.WithRate(10_000))
		rows, err := hgjournal.ReadRows(ctx, store, 1)
		if err != nil {
			t.Fatal(err)
		}
		won, err := w.Claim(ctx, "node", rows)
		if err != nil {
			t.Fatal(err)
		}
		w.Hold(won[0], 0)
		go w.Run(ctx)
		s := hgprogram.NewShard()
		for i := range calls {
			w.Append(0, won[0].Row.Epoch, openAndAnswer(s, fmt.Sprintf("p%d", i), 1, 400))
		}
		for store.Usage().Commits < 2 || !recovered(t, store, s.N()) {
			time.Sleep(20 * time.Millisecond)
		}
		cancel()
		reads, start := store.Usage().Reads, processorTime()
		recovered(t, store, s.N())
		took := processorTime() - start
		t.Logf("%d, %d, %.1f, %.2f", s.N(), store.Usage().Reads-reads, took.Seconds()*1e3, took.Seconds()*1e6/float64(s.N()))
	}
}

// recovered reports whether the shard's state recovered from the store has n records.
func recovered(t *testing.T, store hgstore.Store, n uint64) bool {
	t.Helper()
	rows, err := hgjournal.ReadRows(t.Context(), store, 1)
	if err != nil {
		t.Fatal(err)
	}
	states, err := hgjournal.Recover(t.Context(), store, rows, 0)
	if err != nil {
		t.Fatal(err)
	}
	return states[0].N() == n
}

// turnSlope measures the bytes of acquiring and releasing a quarantine turn from another node, replies included, on an
// established connection.
func turnSlope(t *testing.T) {
	t.Log("calls, bytes per call if another node keeps its turn")
	for _, n := range []int{10, 100, 1000} {
		var buf bytes.Buffer
		enc := gob.NewEncoder(&buf)
		size := 0
		for i := range n + 1 {
			if i == 1 {
				size = buf.Len()
			}
			turn := hgnoderpc.Turn{
				Key:    hgquarantine.KeyOf(fmt.Sprint("content", i)),
				Holder: hgquarantine.HolderOf("node-000-6a8f1f0e0000", fmt.Sprint("permit-", i), "r"),
			}
			for _, v := range []any{
				rpc.Request{ServiceMethod: "Inner.Enter", Seq: uint64(2 * i)}, turn,
				rpc.Response{ServiceMethod: "Inner.Enter", Seq: uint64(2 * i)}, hgnoderpc.TurnReply{OK: true},
				rpc.Request{ServiceMethod: "Inner.Leave", Seq: uint64(2*i + 1)}, turn,
				rpc.Response{ServiceMethod: "Inner.Leave", Seq: uint64(2*i + 1)}, hgnoderpc.Empty{},
			} {
				if err := enc.Encode(v); err != nil {
					t.Fatal(err)
				}
			}
		}
		t.Logf("%d, %d", n, (buf.Len()-size)/n)
	}
}
