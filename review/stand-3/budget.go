package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgsite"
)

const (
	budgetVMs = 12
	// callerDomain is the failure domain of all callers, whom the directory sends to the VMs there.
	callerDomain = "west"
	// loops is the number of programs that loop until they are stopped.
	loops = 36
	// turnTokens is the most of a turn, which the engines generate in full, and loopBudget the budget of a program.
	turnTokens = hgsite.Events * hgsite.TokensPerEvent
	loopBudget = 10 * turnTokens
)

var (
	// The store is down for outageTime, and the processes of a failure domain are killed at each of the two times after its begin.
	outageTime = 7 * time.Second
	firstKill  = 1500 * time.Millisecond
	secondKill = 4500 * time.Millisecond
	// loopLimit bounds a program's run.
	loopLimit = 60 * time.Second
	thinkTime = 60 * time.Millisecond
)

// loop is a program that loops without end.
type loop struct {
	id        string
	delivered int
	spent     int
	// vm is the VM through which the program sends its turns.
	vm int
}

// runBudget plays programs that begin in an outage of the store, in which the processes of two failure domains are killed one after the other.
func runBudget(r *record, trouble bool) (isBroken bool, err error) {
	d, err := newDeployment(r, budgetVMs, hgsite.Domains)
	if err != nil {
		return false, err
	}
	defer d.close()
	var down sync.Map // the VMs whose processes are down
	var wg sync.WaitGroup
	if trouble {
		r.printf("the store is down")
		d.Store.SetFault(hgstore.Fault{Down: true})
	}
	began := time.Now()
	time.Sleep(700 * time.Millisecond)
	programs := make([]*loop, loops)
	for i := range programs {
		programs[i] = &loop{id: fmt.Sprintf("loop-%d-%d", began.UnixNano(), i)}
		wg.Go(func() { programs[i].run(r, d, &down) })
	}
	if trouble {
		for i, at := range []time.Duration{firstKill, secondKill} {
			time.Sleep(time.Until(began.Add(at)))
			if err := d.killDomain(r, hgsite.Domains[i], &down); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(began.Add(outageTime)))
		d.Store.SetFault(hgstore.Fault{DelayMs: storeDelayMs})
		r.printf("the store is back")
	}
	wg.Wait()
	for _, p := range programs {
		most := loopBudget + turnTokens
		r.printf("program %s: %d tokens delivered; budget %d and the most of one turn %d: at most %d, exceeded: %v", p.id, p.delivered, loopBudget, turnTokens, most, p.delivered > most)
		isBroken = isBroken || p.delivered > most
	}
	return isBroken, nil
}

// killDomain kills the processes of a failure domain at the same moment and starts them again after a short delay.
func (d *deployment) killDomain(r *record, domain string, down *sync.Map) (err error) {
	vms := d.inDomain(domain)
	r.printf("the processes of the %d VMs in %s are killed: %v", len(vms), domain, vms)
	for _, i := range vms {
		down.Store(i, true)
	}
	var wg sync.WaitGroup
	for _, i := range vms {
		wg.Go(d.vms[i].kill)
	}
	wg.Wait()
	time.Sleep(restartDelay)
	for _, i := range vms {
		if err := d.restart(i); err != nil {
			return err
		}
		down.Delete(i)
	}
	r.printf("the processes in %s are started again", domain)
	return nil
}

var turnNumber atomic.Int64

// run sends turns until the program has been stopped with 402 three times. After a refusal it comes back when it was told to.
func (p *loop) run(r *record, d *deployment, down *sync.Map) {
	for end := time.Now().Add(loopLimit); time.Now().Before(end) && p.spent < 3; {
		entries := d.inDomain(callerDomain)
		i := entries[rand.IntN(len(entries))]
		if _, isDown := down.Load(i); isDown {
			continue
		}
		q := hgsite.Turn(hgsite.ChatPath, p.id, "", fmt.Sprintf("input %d ", turnNumber.Add(1)))
		q.Budget, q.MaxTokensOut, q.NewConn, q.SendOnce = loopBudget, turnTokens, true, true
		ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
		reply, err := d.Call(ctx, i, q)
		cancel()
		tokens := len(reply.Events) * hgsite.TokensPerEvent
		p.delivered += tokens
		pause := thinkTime
		switch {
		case err != nil:
			r.printf("%s: attempt %s through VM %d: %v", p.id, q.ID, i, err)
		case reply.Status == http.StatusPaymentRequired:
			p.spent++
			fallthrough
		default:
			r.printf("%s: attempt %s through VM %d: status %d, %d tokens, %d in all", p.id, q.ID, i, reply.Status, tokens, p.delivered)
		}
		if reply.Status != http.StatusOK {
			pause = max(reply.RetryAfter(), 100*time.Millisecond+rand.N(300*time.Millisecond))
		}
		time.Sleep(pause)
	}
}
