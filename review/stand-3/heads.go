package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

const (
	headsVMs = 3
	// crowdPerVM is the number of clients at each VM; a VM takes 3075 connections of callers, by its descriptors.
	crowdPerVM = 2600
	// headBytes is the size of a client's head; max_header_bytes is 16384. bodyBytes is the length of its body, of which it sends all but
	// the last byte; max_body_bytes is 4194304.
	headBytes = 14 << 10
	bodyBytes = 8 << 10
	// The rule counts machines on which processes end three times; two of them break it.
	endsPerVM = 3
	brokenVMs = 2
)

var (
	// crowdRamp is the time over which the clients come, and crowdTime how long they stay. One whose connection is closed comes again
	// after crowdPause.
	crowdRamp  = 4 * time.Second
	crowdTime  = 30 * time.Second
	crowdPause = time.Second
	// memoryPeriod is the time between two looks at the memory of the processes.
	memoryPeriod = 100 * time.Millisecond
	askPeriod    = time.Second
	askTimeout   = 5 * time.Second
)

// runHeads holds connections with whole heads and unfinished bodies at all VMs. As on the platform, a process that exceeds its memory is
// killed and started again.
func runHeads(r *record, trouble bool) (isBroken bool, err error) {
	d, err := newDeployment(r, headsVMs, hgsite.Domains)
	if err != nil {
		return false, err
	}
	defer d.close()
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var wg sync.WaitGroup
	var connected atomic.Int64
	if trouble {
		for i := range d.vms {
			for k := range crowdPerVM {
				wg.Go(func() {
					time.Sleep(crowdRamp * time.Duration(k) / crowdPerVM)
					for ctx.Err() == nil {
						holdRequest(ctx, d.Configs[i].Listen.Public, &connected)
						pause(ctx, crowdPause)
					}
				})
			}
		}
	}
	ends := make([]int, headsVMs)
	peak := make([]int, headsVMs)
	served, asked, ended := 0, 0, 0
	for lastAsk := time.Now(); ctx.Err() == nil; pause(ctx, memoryPeriod) {
		for i, v := range d.vms {
			mb := residentMB(v.cmd.Process.Pid)
			peak[i] = max(peak[i], mb)
			if mb <= vmMemoryMB {
				continue
			}
			ends[i]++
			r.printf("VM %d holds %d MB, more than its %d MB, with %d connections of the crowd open at all VMs: its process is killed, for the %d. time", i, mb, vmMemoryMB, connected.Load(), ends[i])
			v.kill()
			time.Sleep(restartDelay)
			if err := d.restart(i); err != nil {
				return false, err
			}
		}
		if time.Since(lastAsk) >= askPeriod {
			lastAsk = time.Now()
			asked++
			if ask(d, asked%headsVMs) {
				served++
			}
		}
	}
	wg.Wait()
	for i := range d.vms {
		r.printf("VM %d: at most %d MB of %d MB resident; its process ended %d times", i, peak[i], vmMemoryMB, ends[i])
		if ends[i] >= endsPerVM {
			ended++
		}
	}
	r.printf("%d of %d ordinary requests were answered; on %d VMs the process ended %d times or more", served, asked, ended, endsPerVM)
	return ended >= brokenVMs, nil
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// holdRequest sends a whole head and a body that stops just short of its end, and keeps the connection until the VM closes it.
func holdRequest(ctx context.Context, address string, connected *atomic.Int64) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	connected.Add(1)
	defer connected.Add(-1)
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST %sturn HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\nContent-Length: %d\r\nX-Prompt-Prefix: ", hgsite.ThreadPath, hgsite.Host, hgsite.NewAttempt(), bodyBytes)
	for i := 0; request.Len() < headBytes; i++ {
		fmt.Fprintf(&request, "%08x:800,", i)
	}
	request.WriteString("5c1e07a2:800\r\n\r\n")
	request.Write(make([]byte, bodyBytes-1))
	if _, err := conn.Write(request.Bytes()); err != nil {
		return
	}
	for buf := make([]byte, 1024); err == nil; {
		_, err = conn.Read(buf)
	}
}

// ask sends an ordinary request on a connection of its own and reports whether it is answered.
func ask(d *deployment, i int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	q := hgsite.Turn(hgsite.CheckPath, "", "", "x")
	q.NewConn = true
	reply, err := d.Call(ctx, i, q)
	return err == nil && reply.Status == http.StatusOK && reply.Complete
}

// residentMB returns the resident memory of a process without the pages of its program file, in units of 2^20 bytes; 0 if it has ended.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	kb, _ := strconv.Atoi(strings.Fields(rest + " 0")[0])
	return kb >> 10
}
