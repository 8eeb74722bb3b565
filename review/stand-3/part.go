package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/proof/hgsite"
)

const (
	// partVMs is the number of VMs, one in each failure domain.
	partVMs = 3
	// killedVM is the VM whose process is killed.
	killedVM = 0
	// storeParts is the number of partitions of the table with the programs, and downParts that of those that are down.
	storeParts = 16
	downParts  = 4
	// begunPerSecond is the number of programs that begin each second beside those that loop, and shortTurns that of their turns.
	begunPerSecond = 20
	shortTurns     = 3
	// partLoops is the number of programs that loop, and partTurns the number of turns that a budget holds.
	partLoops = 90
	partTurns = 12
)

var (
	// downTime is how long the partitions are down, and killDelay the time between the begin of that and the kill.
	downTime  = 4500 * time.Millisecond
	killDelay = 1200 * time.Millisecond
	// partThink is the mean pause between two turns, and partStart the time for which programs run before the outage.
	partThink = 300 * time.Millisecond
	partStart = 2 * time.Second
)

// runPart plays programs that loop. While a part of the store is down, the process of one VM is killed.
func runPart(r *record, trouble bool) (isBroken bool, err error) {
	d, err := newDeployment(r, partVMs, hgsite.Domains)
	if err != nil {
		return false, err
	}
	defer d.close()
	programs := make([]*loop, partLoops)
	var wg sync.WaitGroup
	for i := range programs {
		programs[i] = &loop{id: fmt.Sprintf("loop-%x-%d", rand.Uint32(), i), vm: startVMOf(i)}
		wg.Go(func() { programs[i].runKept(r, d) })
	}
	short, cancelShort := context.WithCancel(context.Background())
	defer cancelShort()
	go beginPrograms(short, d)
	time.Sleep(partStart)
	if trouble {
		if err := d.killInOutage(r); err != nil {
			return false, err
		}
	}
	wg.Wait()
	const most = partTurns*turnTokens + turnTokens
	for i, p := range programs {
		isBroken = isBroken || p.delivered > most
		r.printf("program %s, begun at VM %d: %d tokens delivered; at most %d are allowed; exceeded: %v", p.id, startVMOf(i), p.delivered, most, p.delivered > most)
	}
	return isBroken, nil
}

// killInOutage takes some partitions of the store down for a time, and kills the process of a VM meanwhile.
func (d *deployment) killInOutage(r *record) (err error) {
	var silent []string
	for _, n := range rand.Perm(storeParts)[:downParts] {
		silent = append(silent, fmt.Sprintf("%02d", n))
	}
	r.printf("the partitions %v of the store are down", silent)
	d.Store.SetFault(hgstore.Fault{DelayMs: storeDelayMs, Silent: silent})
	began := time.Now()
	time.Sleep(killDelay)
	d.vms[killedVM].kill()
	r.printf("the process of VM %d was killed", killedVM)
	time.Sleep(restartDelay)
	if err := d.restart(killedVM); err != nil {
		return err
	}
	r.printf("it is started again")
	time.Sleep(time.Until(began.Add(downTime)))
	d.Store.SetFault(hgstore.Fault{DelayMs: storeDelayMs})
	r.printf("the whole store is back")
	return nil
}

// startVMOf returns the VM at which a program begins: two thirds of them at the one whose process is killed.
func startVMOf(i int) int {
	if i%3 < 2 {
		return killedVM
	}
	return 1 + i/3%(partVMs-1)
}

// beginPrograms begins programs of a few turns, at VMs in turn, until the context ends.
func beginPrograms(ctx context.Context, d *deployment) {
	for i := 0; ctx.Err() == nil; i++ {
		go func() {
			for t := range shortTurns {
				q := hgsite.Turn(hgsite.ChatPath, fmt.Sprintf("short-%d", i), "", fmt.Sprintf("input %d ", t))
				q.SendOnce = true
				callCtx, cancel := context.WithTimeout(ctx, q.Deadline)
				_, _ = d.Call(callCtx, i%len(d.vms), q) // these programs are no part of the check
				cancel()
				time.Sleep(partThink)
			}
		}()
		time.Sleep(time.Second / begunPerSecond)
	}
}

// runKept sends turns through one VM, and through another one once that has failed, until the program has been stopped with 402 three
// times.
func (p *loop) runKept(r *record, d *deployment) {
	for end := time.Now().Add(loopLimit); time.Now().Before(end) && p.spent < 3; {
		q := hgsite.Turn(hgsite.ChatPath, p.id, "", fmt.Sprintf("input %d ", turnNumber.Add(1)))
		q.Budget, q.MaxTokensOut, q.SendOnce = partTurns*turnTokens, turnTokens, true
		ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
		reply, err := d.Call(ctx, p.vm, q)
		cancel()
		tokens := len(reply.Events) * hgsite.TokensPerEvent
		p.delivered += tokens
		pause := partThink/2 + rand.N(partThink)
		if err != nil {
			r.filef("%s: attempt %s through VM %d: %d tokens, %d in all, %v", p.id, q.ID, p.vm, tokens, p.delivered, err)
			for failed := p.vm; p.vm == failed; {
				p.vm = rand.IntN(len(d.vms))
			}
		} else {
			r.filef("%s: attempt %s through VM %d: status %d, %d tokens, %d in all", p.id, q.ID, p.vm, reply.Status, tokens, p.delivered)
		}
		if reply.Status == http.StatusPaymentRequired {
			p.spent++
		}
		if reply.Status != http.StatusOK {
			pause = max(reply.RetryAfter(), 100*time.Millisecond+rand.N(300*time.Millisecond))
		}
		time.Sleep(pause)
	}
}
