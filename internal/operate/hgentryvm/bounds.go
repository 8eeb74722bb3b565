package hgentryvm

import (
	"log/slog"
	"net/http"
	"runtime"
	"runtime/metrics"
	"sync"
	"time"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgentry"
	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgserver"
	"hyssopgrade/internal/state/hgledger"
)

// Shares of the VM's memory. Together with bufferShare they leave a third of the Go runtime's limit (hgmemory.RuntimeShare) for all else.
const (
	// peerShare is for the messages of peers.
	peerShare = 0.1
	// turnShare is for the texts of stored turns, which are in the store too.
	turnShare = 0.1
	// directoryShare is for the requests of the directory, and operatorShare for those of readiness and of metrics.
	directoryShare = 0.05
	operatorShare  = 0.02
	// minBodyBytes is the least memory for requests or messages: a body of 4 MiB takes twice that for a moment, when it is whole.
	minBodyBytes = 10 << 20
	// shortShare is the share of the Go runtime's limit above which the live heap counts as near it: only small requests are taken.
	shortShare = 0.85
	// heapPeriod is the time between two looks at the live heap, which changes only when the garbage collector has run.
	heapPeriod = 250 * time.Millisecond
	// collectPeriod is the time for which the live heap counts as near the limit without another collection.
	collectPeriod = time.Second
)

// Divisors of the VM's descriptors for the connections of the other ports, beside hgserver.PublicPart.
const (
	peerPart      = 8.0
	directoryPart = 16.0
	operatorPart  = 64.0
)

// droppedTexts is the counter of programs whose texts were dropped from memory.
const droppedTexts = "turn_texts_dropped"

// boundLogPeriod is the least time between two log lines about bounds that were met.
const boundLogPeriod = 5 * time.Second

// bounds keeps the process within the memory and the descriptors of its VM.
type bounds struct {
	vm    hgconfig.EntryVM
	log   *slog.Logger
	count func(reason string)
	clock hgmemory.Clock
	// requests is the memory for the requests of callers.
	requests *hgmemory.Account

	// cycle is the number of collections at the last look at the heap, and cycleAt when it last grew. Only watchHeap uses them.
	cycle   uint64
	cycleAt time.Duration

	mu sync.Mutex
	// reasons counts what was closed or dropped since loggedAt.
	reasons  map[string]int
	loggedAt time.Time
}

func newBounds(vm hgconfig.EntryVM, log *slog.Logger, count func(reason string), clock hgmemory.Clock) *bounds {
	return &bounds{vm: vm, log: log, count: count, clock: clock, requests: hgmemory.NewAccount(requestBytes(vm), clock), reasons: map[string]int{}}
}

// requestBytes returns the memory for the requests of callers.
func requestBytes(vm hgconfig.EntryVM) int {
	if vm.RequestMemoryMB > 0 {
		return int(vm.RequestMemoryMB * (1 << 20))
	}
	return max(memoryPart(vm, hgmemory.RequestShare), minBodyBytes)
}

// memoryPart returns the bytes of a share of the VM's memory.
func memoryPart(vm hgconfig.EntryVM, share float64) int { return int(vm.MemoryMB * (1 << 20) * share) }

// public returns the server of the port for callers.
func (b *bounds) public(cfg *http.Server) *hgserver.Server {
	return b.server(cfg, hgserver.PublicPart, b.requests)
}

// other returns the server of another port, whose connections are a part of the VM's descriptors and whose requests have a share of its
// memory.
func (b *bounds) other(cfg *http.Server, part, share float64) *hgserver.Server {
	return b.server(cfg, part, hgmemory.NewAccount(memoryPart(b.vm, share), b.clock))
}

func (b *bounds) server(cfg *http.Server, part float64, a *hgmemory.Account) *hgserver.Server {
	return hgserver.NewServer(cfg, b.log, hgserver.WithMaxConns(hgserver.Conns(b.vm.MaxDescriptors, part)), hgserver.WithAccount(a), hgserver.WithRefused(b.refused))
}

// peers returns the bounds of the port for peers.
func (b *bounds) peers() hgpeer.Bounds {
	memory := max(memoryPart(b.vm, peerShare), minBodyBytes)
	conns := memory / hgserver.ConnBytes
	if n := hgserver.Conns(b.vm.MaxDescriptors, peerPart); n > 0 {
		conns = min(conns, n)
	}
	return hgpeer.Bounds{MaxConns: conns, Memory: hgmemory.NewAccount(memory, b.clock), Refused: b.refused}
}

// entryOption returns the option that charges bodies to the memory for requests.
func (b *bounds) entryOption() hgentry.Option { return hgentry.WithAccount(b.requests) }

// ledgerOption returns the option that bounds the texts of stored turns.
func (b *bounds) ledgerOption() hgledger.Option {
	limit := memoryPart(b.vm, turnShare)
	if b.vm.TurnMemoryMB > 0 {
		limit = int(b.vm.TurnMemoryMB * (1 << 20))
	}
	return hgledger.WithTextLimit(int64(limit), func(programs int) {
		for range programs {
			b.refused(droppedTexts)
		}
	})
}

// refused counts what is closed or dropped at a bound, by reason. One line per boundLogPeriod says how many there were.
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
	b.log.Warn("closed or dropped at a bound of the VM", args...)
	b.reasons, b.loggedAt = map[string]int{}, time.Now()
}

// watchHeap takes only small requests while the live heap is near the Go runtime's limit, so that the process refuses requests instead of
// collecting garbage without end. The figure is as of the last collection: once the load has gone there may be none for minutes, so that
// one is run.
func (b *bounds) watchHeap(now time.Duration) {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 || sample[1].Value.Kind() != metrics.KindUint64 {
		return
	}
	limit := b.vm.MemoryMB * (1 << 20) * hgmemory.RuntimeShare * shortShare
	isShort := float64(sample[0].Value.Uint64()) > limit
	b.requests.SetShort(isShort)
	if cycle := sample[1].Value.Uint64(); cycle != b.cycle {
		b.cycle, b.cycleAt = cycle, now
	}
	if isShort && now-b.cycleAt >= collectPeriod {
		runtime.GC()
	}
}
