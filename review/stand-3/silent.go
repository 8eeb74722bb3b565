package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

const (
	silentVMs = 6
	// leavingTool is the replica whose registration is removed.
	leavingTool  = "tool-leaving"
	warmPrograms = 60
	warmTurns    = 6
)

var (
	// heartbeatTime is the time between two writes of a replica's registration, heartbeat_ms.
	heartbeatTime = 1200 * time.Millisecond
	// removedAfter is the time between the silence and the removal.
	removedAfter = 200 * time.Millisecond
	// chargesFor is how long callers send charges after the silence, and chargePause the pause between two charges through one VM.
	chargesFor  = 9 * time.Second
	chargePause = 40 * time.Millisecond
	warmPause   = 3 * time.Second
)

// sending is a charge that a caller sent.
type sending struct {
	vm int
	at time.Time
}

// runSilent removes the registration of a replica after the open connections to the store have gone silent, and checks which charges reach it.
func runSilent(r *record, trouble bool) (isBroken bool, err error) {
	d, err := newDeployment(r, silentVMs, hgsite.Domains)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.AddTool(leavingTool); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var beats heartbeats
	go beats.run(ctx, d)
	d.warmUp(r)
	time.Sleep(warmPause)
	silent := time.Now()
	if trouble {
		for i, k := range d.links {
			r.printf("VM %d: its %d open connections to the store go silent", i, k.silence())
		}
	}
	var mu sync.Mutex
	sent := map[string]sending{}
	var wg sync.WaitGroup
	for i := range d.vms {
		wg.Go(func() {
			for time.Since(silent) < chargesFor {
				q := hgsite.Turn(hgsite.ChargePath, "", "", "charge")
				charge := sending{i, time.Now()}
				mu.Lock()
				sent[q.ID] = charge
				mu.Unlock()
				reply, err := d.Call(ctx, i, q)
				r.filef("charge %s sent to VM %d at %.3f s after the silence: status %d %v", q.ID, i, charge.at.Sub(silent).Seconds(), reply.Status, err)
				time.Sleep(chargePause)
			}
		})
	}
	time.Sleep(removedAfter)
	if err := beats.remove(d, leavingTool); err != nil {
		return false, err
	}
	acked := time.Now()
	r.printf("the store has acknowledged that the registration of %s is removed", leavingTool)
	wg.Wait()
	late := 0
	last := map[int]time.Time{}
	for _, run := range d.Replicas[leavingTool].Runs() {
		s, ok := sent[run.Attempt]
		if !ok {
			continue
		}
		last[s.vm] = run.At
		isLate := run.At.Sub(acked) > drainTime && s.at.Sub(silent) > contactTime
		if isLate {
			late++
		}
		r.filef("%s runs charge %s of VM %d, sent %.3f s after the silence, %.3f s after the acknowledgement: too late %v", leavingTool, run.Attempt, s.vm,
			s.at.Sub(silent).Seconds(), run.At.Sub(acked).Seconds(), isLate)
	}
	for i := range d.vms {
		if at, ok := last[i]; ok {
			r.printf("VM %d: its last charge reaches %s %.3f s after the acknowledgement, %.3f s after the silence", i, leavingTool, at.Sub(acked).Seconds(), at.Sub(silent).Seconds())
		}
	}
	r.printf("%d of %d charges reach %s later than %v after the acknowledgement, taken by VMs that had been in touch for %v", late, len(sent), leavingTool, drainTime, contactTime)
	return late > 0, nil
}

// heartbeats writes the registrations of all replicas that are not removed.
type heartbeats struct {
	mu      sync.Mutex
	removed string
}

func (h *heartbeats) run(ctx context.Context, d *deployment) {
	for ; ctx.Err() == nil; time.Sleep(heartbeatTime) {
		for id, replica := range d.Replicas {
			h.mu.Lock()
			if id != h.removed {
				_ = d.Register(replica.Entry) // it is written again with the next heartbeat
			}
			h.mu.Unlock()
		}
	}
}

// remove removes the registration of a replica, which writes no heartbeat any more.
func (h *heartbeats) remove(d *deployment, id string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removed = id
	return d.Unregister(id)
}

// warmUp sends programs with kept turns, and then new programs that continue from turns of these.
func (d *deployment) warmUp(r *record) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var ends []string
	for i := range warmPrograms {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			previous := ""
			for t := range warmTurns {
				q := hgsite.Turn(hgsite.ThreadPath, fmt.Sprint("p", i), previous, fmt.Sprint("input ", t, " "))
				if reply, err := d.Call(context.Background(), (i+t)%silentVMs, q); err == nil && reply.Status == http.StatusOK && reply.Complete {
					previous = q.ID
				}
			}
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, previous)
		})
	}
	wg.Wait()
	served := 0
	for i, previous := range ends {
		q := hgsite.Turn(hgsite.ThreadPath, fmt.Sprint("new", i), previous, "input ")
		if reply, err := d.Call(context.Background(), i%silentVMs, q); err == nil && reply.Status == http.StatusOK && reply.Complete {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.printf("%d programs of %d turns were played, and %d new ones that continued from their last turns", warmPrograms, warmTurns, served)
}
