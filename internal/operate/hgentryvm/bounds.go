package hgentryvm

import (
	"log/slog"
	"net/http"
	"runtime/metrics"
	"sync"
	"time"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgentry"
	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgserver"
)

// Shares of the VM's memory. Together with bufferShare they leave a third of the Go runtime's limit (hgmemory.RuntimeShare) for all else.
const (
	// peerShare is for the messages of peers.
	peerShare = 0.1
	// minBodyBytes is the least memory for bodies or messages: a body of 4 MiB takes twice that for a moment, when it is whole.
	minBodyBytes = 10 << 20
	// shortShare is the share of the Go runtime's limit above which the live heap counts as near it: only small bodies are taken.
	shortShare = 0.85
	// heapPeriod is the time between two looks at the live heap, which changes only when the garbage collector has run.
	heapPeriod = 250 * time.Millisecond
)

// Divisors of the VM's descriptors for the connections of the other ports, beside hgserver.PublicPart.
const (
	peerPart      = 8.0
	directoryPart = 16.0
	operatorPart  = 64.0
)

// boundLogPeriod is the least time between two log lines about bounds that were met.
const boundLogPeriod = 5 * time.Second

// bounds keeps the process within the memory and the descriptors of its VM.
type bounds struct {
	vm     hgconfig.EntryVM
	log    *slog.Logger
	count  func(reason string)
	bodies *hgmemory.Bodies

	mu sync.Mutex
	// reasons counts the connections closed since loggedAt.
	reasons  map[string]int
	loggedAt time.Time
}

func newBounds(vm hgconfig.EntryVM, log *slog.Logger, count func(reason string), clock hgmemory.Clock) *bounds {
	return &bounds{vm: vm, log: log, count: count, bodies: hgmemory.NewBodies(memoryPart(vm, hgmemory.BodyShare), clock), reasons: map[string]int{}}
}

// memoryPart returns the bytes of a share of the VM's memory that holds bodies or messages.
func memoryPart(vm hgconfig.EntryVM, share float64) int {
	return max(int(vm.MemoryMB*(1<<20)*share), minBodyBytes)
}

func (b *bounds) machine() hgserver.Machine {
	return hgserver.Machine{MemoryMB: b.vm.MemoryMB, Descriptors: b.vm.MaxDescriptors}
}

// server returns a server whose connections are a part of the VM's descriptors.
func (b *bounds) server(cfg *http.Server, part float64) *hgserver.Server {
	return hgserver.NewServer(cfg, b.log, hgserver.WithMachine(b.machine(), part), hgserver.WithRefused(b.refused))
}

// peers returns the bounds of the port for peers.
func (b *bounds) peers(clock hgmemory.Clock) hgpeer.Bounds {
	return hgpeer.Bounds{MaxConns: b.machine().Conns(peerPart), Memory: hgmemory.NewBodies(memoryPart(b.vm, peerShare), clock), Refused: b.refused}
}

// entryOption returns the option that makes the entry's bodies share the memory for them.
func (b *bounds) entryOption() hgentry.Option { return hgentry.WithBodies(b.bodies) }

// refused counts a closed connection by reason. One line per boundLogPeriod says how many there were.
func (b *bounds) refused(reason string) {
	b.count(reason)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reasons[reason]++
	if time.Since(b.loggedAt) < boundLogPeriod {
		return
	}
	args := []any{}
	for name, n := range b.reasons {
		args = append(args, name, n)
	}
	b.log.Warn("connections closed at a bound of the VM", args...)
	b.reasons, b.loggedAt = map[string]int{}, time.Now()
}

// watchHeap takes only small bodies while the live heap is near the Go runtime's limit, so that the process refuses requests instead of
// collecting garbage without end.
func (b *bounds) watchHeap(time.Duration) {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return
	}
	limit := b.vm.MemoryMB * (1 << 20) * hgmemory.RuntimeShare * shortShare
	b.bodies.SetShort(float64(sample[0].Value.Uint64()) > limit)
}
