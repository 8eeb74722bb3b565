package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// resumedTurn breaks a kept turn off by the loss of its machine, resumes it and continues the conversation.
func resumedTurn(ctx context.Context, s *site, trouble bool) (broken []string, err error) {
	var mu sync.Mutex
	bodies := map[string]string{}
	engine := func(id, zone string) *replica {
		return &replica{id: id, service: engines, zone: zone, slots: 16, queue: 48, events: 8, pause: 100 * time.Millisecond, began: func(r *http.Request, body []byte) {
			mu.Lock()
			defer mu.Unlock()
			bodies[r.Header.Get("X-Attempt-Id")] = string(body)
		}}
	}
	state := desired(1, 16)
	state["routes"].([]any)[0].(map[string]any)["resumable"] = true
	if err := s.deploy(3, 3, engine, state); err != nil {
		return nil, err
	}
	c := &conversation{id: newID(), vm: s.vms[0]}
	q := c.turn([]byte("first input\n"), 10)
	var events []string
	if trouble {
		events = s.breakOff(ctx, c, q, 3)
		s.rec.add("first attempt brought %d events", len(events))
		c.vm = s.vms[1]
		q.id, q.lastEvent = newID(), fmt.Sprint(len(events))
	}
	a := call(ctx, c.vm.public, q)
	s.rec.add("attempt %s: status %d, %v, whole %t", q.id, a.status, a.events, a.whole)
	if a.status != 200 || !a.whole {
		return nil, fmt.Errorf("turn not served: %d %v", a.status, a.err)
	}
	events = append(events, a.events...)
	c.last = q.id
	next := c.turn([]byte("second input\n"), 20)
	b := call(ctx, c.vm.public, next)
	want := "first input\n" + strings.Join(events, "\n") + "\n" + "second input\n"
	mu.Lock()
	got := bodies[next.id]
	mu.Unlock()
	s.rec.add("next turn: status %d, body %q, want %q", b.status, got, want)
	if b.status == 200 && got != want {
		broken = append(broken, fmt.Sprintf("the replica runs a turn with the body %q instead of %q", got, want))
	}
	return broken, nil
}

// breakOff sends a turn and kills the machine after some events; it returns the events that came.
func (s *site) breakOff(ctx context.Context, c *conversation, q request, n int) (events []string) {
	done := make(chan struct{})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.vm.public+q.path, strings.NewReader(string(q.body)))
	if err != nil {
		return nil
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", q.id)
	r.Header.Set("X-Program-Id", q.program)
	r.Header.Set("X-Session-Id", q.session)
	r.Header.Set("X-Token-Budget", "1000000")
	r.Header.Set("X-Token-Usage", "10,72")
	r.Header.Set("X-Deadline-Ms", "4000")
	w, err := (&http.Transport{}).RoundTrip(r)
	if err != nil {
		return nil
	}
	defer w.Body.Close()
	go func() {
		time.Sleep(time.Duration(n)*100*time.Millisecond + 50*time.Millisecond)
		c.vm.signal(syscall.SIGKILL)
		close(done)
	}()
	data, _ := io.ReadAll(w.Body) // the channel breaks
	<-done
	for event := range strings.SplitSeq(string(data), "\n\n") {
		for line := range strings.SplitSeq(event, "\n") {
			if d, ok := strings.CutPrefix(line, "data: "); ok {
				events = append(events, d)
			}
		}
	}
	return events
}
