package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of case 9.
const (
	// endlessUsers is the number of consumers; each sends a turn, and the next one after endlessPause.
	endlessUsers = 90
	// endlessOut is the most of a turn, as in the pages' example.
	endlessOut = 288
	// endlessBytes is the size of what the engine in trouble repeats.
	endlessBytes = 250_000
)

var (
	endlessFor   = 60 * time.Second
	endlessPause = 100 * time.Millisecond
)

// endlessStreams lets the answers of two of four engines go on without end, and acts as the platform that kills a process over its memory.
func endlessStreams(ctx context.Context, s *site, trouble bool) (broken []string, err error) {
	engine := func(id, zone string) *replica {
		return &replica{id: id, service: engines, zone: zone, slots: 16, queue: 48, events: 8, pause: 23 * time.Millisecond}
	}
	if err := s.deploy(4, 3, engine, desired(1, 16)); err != nil {
		return nil, err
	}
	if trouble {
		for _, r := range s.replicas[1:3] {
			r.setEndless()
		}
	}
	ends := s.enforceMemory(ctx)
	var wg sync.WaitGroup
	stop := time.Now().Add(endlessFor)
	for range endlessUsers {
		wg.Go(func() {
			for time.Now().Before(stop) {
				c := &conversation{id: newID(), vm: s.vms[rand.IntN(len(s.vms))]}
				q := c.turn([]byte("hello"), 500)
				q.out = endlessOut
				a := call(ctx, c.vm.public, q)
				s.rec.add("%s turn %s of %s: status %d, %d events, whole %t", c.vm.name, q.id, c.id, a.status, len(a.events), a.whole)
				time.Sleep(endlessPause)
			}
		})
	}
	wg.Wait()
	return s.memoryVerdict(ends), nil
}

// setEndless makes the engine answer each request with a head and then with the same event, over and over, until the caller closes.
func (p *replica) setEndless() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endless = true
}

func (p *replica) isEndless() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endless
}

// sendEndless takes the connection over and sends bytes until the caller closes it.
func (p *replica) sendEndless(w http.ResponseWriter, id string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	sent := writeEndless(conn, buffered, id)
	p.rec.add("%s sent %d bytes for %s until the caller closed", p.id, sent, id)
}

func writeEndless(conn net.Conn, buffered *bufio.ReadWriter, id string) (sent int) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nContent-Type: text/event-stream\r\n\r\n", id, id)
	if _, err := io.WriteString(buffered, head); err != nil || buffered.Flush() != nil {
		return 0
	}
	event := []byte("data: " + strings.Repeat("x", endlessBytes) + "\n\n")
	for {
		n, err := conn.Write(event)
		sent += n
		if err != nil {
			return sent
		}
	}
}
