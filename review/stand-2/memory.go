package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of case 8. Machines, engines, sizes, helpers and the burst are those of the site griddle-permits: a program of its kept kind of
// request has 18 turns of 26,000 bytes and 1,630 tokens at most, and starts 10 helpers at most; a burst brings 2.1 times the usual for 4 s.
const (
	machineMB  = 154
	longTurns  = 18
	longBytes  = 26_000
	longTokens = 1_630
	// memoryPrograms is the number of programs of each machine, and memoryWidth the helpers that a program starts at once.
	memoryPrograms = 40
	memoryWidth    = 10
	// memoryRate is the usual number of programs that start helpers, for each machine and second; a burst has memoryBurst times as many.
	memoryRate  = 6.0
	memoryBurst = 2.1
	// memoryBursts is the number of bursts, and memoryPause lies between them.
	memoryBursts = 8
	// fatalEnds is the number of ends of a process by itself that breaks the rule, on two machines at least.
	fatalEnds = 3
)

var (
	memoryFor   = 4 * time.Second
	memoryPause = time.Second
)

// conversation is a program that the system keeps.
type conversation struct {
	id, last string
	vm       *vm
}

// historyMemory lets programs with a long history start helpers, and acts as the platform that kills a process over its memory.
func historyMemory(ctx context.Context, s *site, trouble bool) (broken []string, err error) {
	engine := func(id, zone string) *replica {
		return &replica{id: id, service: engines, zone: zone, slots: 16, queue: 48, events: 8, pause: 23 * time.Millisecond}
	}
	if err := s.deploy(3, 3, engine, desired(1, 16)); err != nil {
		return nil, err
	}
	conversations, err := prepareConversations(ctx, s)
	if err != nil {
		return nil, err
	}
	ends := s.enforceMemory(ctx)
	for range memoryBursts {
		rate := memoryRate
		if trouble {
			rate *= memoryBurst
		}
		s.rec.add("%.1f programs a second and machine start helpers", rate)
		s.startHelpers(ctx, conversations, rate)
		time.Sleep(memoryPause)
	}
	return s.memoryVerdict(ends), nil
}

// prepareConversations brings all programs to their long history, a few at a time.
func prepareConversations(ctx context.Context, s *site) (list []*conversation, err error) {
	places := make(chan struct{}, 32)
	var wg sync.WaitGroup
	var failed atomic.Int64
	for i := range memoryPrograms * len(s.vms) {
		c := &conversation{id: newID(), vm: s.vms[i%len(s.vms)]}
		list = append(list, c)
		wg.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			for turn := range longTurns {
				q := c.turn(bytes.Repeat([]byte("abc "), longBytes/4), (turn+1)*longTokens)
				if !s.sendTurn(ctx, c, q) {
					failed.Add(1)
					return
				}
				c.last = q.id
			}
		})
	}
	wg.Wait()
	if n := failed.Load(); n > 0 {
		return nil, fmt.Errorf("%d programs could not be prepared", n)
	}
	s.rec.add("%d programs have %d bytes of history each", len(list), longTurns*longBytes)
	return list, nil
}

// turn returns a turn that continues the conversation.
func (c *conversation) turn(input []byte, tokens int) request {
	return request{
		id: newID(), path: threadPath + "t", body: input, program: c.id, session: c.id, previous: c.last, budget: 1_000_000, in: tokens, out: 8 * tokensPerEvent, deadline: 4 * time.Second,
	}
}

// sendTurn sends a turn as consumers do: a promise is retried once, and a turn that failed is sent again at most twice.
func (s *site) sendTurn(ctx context.Context, c *conversation, q request) bool {
	for range 3 {
		for range 2 {
			a := call(ctx, c.vm.public, q)
			s.rec.add("%s turn %s of %s: status %d, %d events, whole %t, error %v", c.vm.name, q.id, c.id, a.status, len(a.events), a.whole, a.err)
			if a.status == 200 && a.whole {
				return true
			}
			q.id = newID()
			if a.status != 503 {
				break
			}
			time.Sleep(min(a.retryAfter, q.deadline/3))
		}
		time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
	}
	return false
}

// startHelpers lets programs start helpers at a rate for each machine.
func (s *site) startHelpers(ctx context.Context, list []*conversation, rate float64) {
	var wg sync.WaitGroup
	n := int(rate * memoryFor.Seconds() * float64(len(s.vms)))
	began := time.Now()
	for i := range n {
		time.Sleep(time.Until(began.Add(memoryFor * time.Duration(i) / time.Duration(n))))
		c := list[rand.IntN(len(list))]
		for range memoryWidth {
			wg.Go(func() { s.sendTurn(ctx, c, c.turn([]byte("helper: look this up"), longTurns*longTokens)) })
		}
	}
	wg.Wait()
}

// memoryEnds counts what the platform saw of the machines' memory.
type memoryEnds struct {
	mu    sync.Mutex
	ends  map[*vm]int
	peaks map[*vm]float64
}

func (m *memoryEnds) of(v *vm) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ends[v]
}

func (m *memoryEnds) most(v *vm) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peaks[v]
}

// restartDelay is the delay after which the platform starts a process again.
var restartDelay = 300 * time.Millisecond

// enforceMemory kills each process that exceeds its memory and starts it again, as the platform does.
func (s *site) enforceMemory(ctx context.Context) *memoryEnds {
	m := &memoryEnds{ends: map[*vm]int{}, peaks: map[*vm]float64{}}
	for _, v := range s.vms {
		go func() {
			for ctx.Err() == nil {
				time.Sleep(20 * time.Millisecond)
				used := v.anonMB()
				m.mu.Lock()
				m.peaks[v] = max(m.peaks[v], used)
				m.mu.Unlock()
				if used <= v.memoryMB {
					continue
				}
				v.signal(syscall.SIGKILL)
				m.mu.Lock()
				m.ends[v]++
				m.mu.Unlock()
				s.rec.add("%s has %.0f MB of %.0f: killed by the platform", v.name, used, v.memoryMB)
				time.Sleep(restartDelay)
				if ctx.Err() != nil {
					return
				}
				if err := v.start(); err != nil {
					s.rec.add("%s: %v", v.name, err)
					return
				}
			}
		}()
	}
	return m
}

// memoryVerdict records how often processes ended over their memory, and returns what breaks the rule.
func (s *site) memoryVerdict(ends *memoryEnds) (broken []string) {
	machines := 0
	for _, v := range s.vms {
		n := ends.of(v)
		s.rec.add("%s ended by itself %d times, most memory %.0f MB of %d", v.name, n, ends.most(v), machineMB)
		fmt.Printf("%s ended by itself %d times, most memory %.0f MB of %d\n", v.name, n, ends.most(v), machineMB)
		if n >= fatalEnds {
			machines++
		}
	}
	if machines >= 2 {
		broken = append(broken, fmt.Sprintf("on %d of %d machines the process ended by itself %d times or more, over its memory", machines, len(s.vms), fatalEnds))
	}
	return broken
}
