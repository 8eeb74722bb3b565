package hghostile_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/proof/hgsite"
)

const (
	// manyDescriptors is the number of descriptors of a VM whose memory ends first, and many the size of a crowd that it has descriptors for.
	manyDescriptors = 4100
	many            = 1400
	// headBytes is the size of a head of legal size; the smallest limit of the users' deployments is 16 KiB.
	headBytes = 14 << 10
	// longHead is the size of a head that is read into memory before it is refused.
	longHead = 60 << 10
	// returns is how often a crowd leaves and comes back.
	returns = 3
)

// shortLines returns header lines of the given size together, of a few bytes each: a parsed line takes many times its bytes.
func shortLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "X%d: x\r\n", i)
	}
	return strings.TrimSuffix(b.String(), "\r\n")
}

// longLines returns header lines of the given size together, of 2 KiB each.
func longLines(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "X-Line-%d: %s\r\n", i, body[:2<<10])
	}
	return strings.TrimSuffix(b.String(), "\r\n")
}

// promptParts returns a header line of the given size with the parts of a prompt.
func promptParts(size int) string {
	var b strings.Builder
	b.WriteString("X-Prompt-Prefix: 0:1")
	for i := 1; b.Len() < size; i++ {
		fmt.Fprintf(&b, ",%x:1", i)
	}
	return b.String()
}

// unfinished returns a request whose body of the given size stops one byte short of its end, with further lines in its head.
func unfinished(lines string, size int) []byte {
	return append([]byte(head(lines, fmt.Sprintf("Content-Length: %d", size))), body[:size-1]...)
}

// sendAll returns a client that sends a request in one piece.
func sendAll(request []byte) client {
	return func(conn net.Conn) { sendPieces(conn, request, len(request), 0) }
}

// smallCrowds are clients each of which holds little.
func smallCrowds() map[string]client {
	tiny := chunks(16<<10, 3)
	short := shortLines(headBytes)
	return map[string]client{
		"silent":                  func(net.Conn) {},
		"idle after a request":    oneRequest,
		"long lines":              sendAll(unfinished(longLines(headBytes-1<<10), 8<<10)),
		"short lines":             sendAll(unfinished(short, 2<<10)),
		"prompt parts":            sendAll(unfinished(promptParts(headBytes), 8<<10)),
		"unfinished head":         sendAll([]byte(strings.TrimSuffix(head(short), "\r\n"))),
		"head behind a request":   sendAll(append([]byte(declare(1)+"x"), unfinished(shortLines(3<<10), 64)...)),
		"refused before its body": sendAll(append([]byte("POST "+hgsite.CheckPath+"x HTTP/1.1\r\nHost: "+hgsite.Host+"\r\nContent-Length: 2048\r\n"+short+"\r\n\r\n"), body[:2047]...)),
		"one piece":               sendAll(unfinished("X: x", 15<<10)),
		"tiny chunks":             sendAll(append([]byte(head(chunkedLine)), tiny[:len(tiny)-3]...)),
		"trickled end": func(conn net.Conn) {
			request := unfinished("X: x", 64<<10)
			end := len(request) - 100
			if sendPieces(conn, request[:end], 16<<10, 0) {
				sendPieces(conn, request[end:], 1, 100*time.Millisecond)
			}
		},
		"whole, unread answers": sendAll(append([]byte(head(short, "Content-Length: 8192")), body[:8<<10]...)),
	}
}

// Guards against many small requests whose connections, heads and buffers together exhaust the VM's memory though no single one is large.
func TestManySmallRequests(t *testing.T) {
	for name, run := range smallCrowds() {
		t.Run(name, func(t *testing.T) {
			v := startVMs(t, 1, memoryMB, manyDescriptors)[0]
			crowd(t, v.cfg.Listen.Public, many, run)
			v.check(t)
		})
	}
}

// Guards against heads that exhaust the VM's memory through the ports that are not meant for callers.
func TestLongHeadsAtOtherPorts(t *testing.T) {
	run := sendAll([]byte("GET / HTTP/1.1\r\nHost: x\r\n" + shortLines(longHead)))
	for name, port := range map[string]func(l hgconfig.EntryListen) string{
		"ready":     func(l hgconfig.EntryListen) string { return l.Ready },
		"directory": func(l hgconfig.EntryListen) string { return l.Directory },
		"metrics":   func(l hgconfig.EntryListen) string { return l.Metrics },
		"peer":      func(l hgconfig.EntryListen) string { return l.Peer },
	} {
		t.Run(name, func(t *testing.T) {
			v := startVMs(t, 1, memoryMB, manyDescriptors)[0]
			crowd(t, port(v.cfg.Listen), many, run)
			v.check(t)
		})
	}
}

// Guards against the same clients at the two ports of a node.
func TestManySmallRequestsAtNode(t *testing.T) {
	request := "POST /v1/tools/register/x HTTP/1.1\r\nHost: node\r\nContent-Length: 2048\r\n"
	for name, port := range map[string]func(n hgconfig.Node) string{
		"public": func(n hgconfig.Node) string { return n.Public },
		"inner":  func(n hgconfig.Node) string { return n.Inner },
	} {
		for lines, run := range map[string]client{
			"short lines":     sendAll(append([]byte(request+shortLines(headBytes)+"\r\n\r\n"), body[:2047]...)),
			"unfinished head": sendAll([]byte(request + shortLines(longHead))),
		} {
			t.Run(name+", "+lines, func(t *testing.T) {
				p, cfg := startNode(t, manyDescriptors)
				crowd(t, port(cfg.Node), many, run)
				p.check(t)
			})
		}
	}
}

// Guards against a crowd that is at every VM of a site at once, leaves and comes back.
func TestCrowdAtEveryVM(t *testing.T) {
	vms := startVMs(t, 3, memoryMB, manyDescriptors)
	request := unfinished(shortLines(headBytes), 2<<10)
	for range returns {
		var wg sync.WaitGroup
		for _, v := range vms {
			wg.Go(func() { passingCrowd(v.cfg.Listen.Public, many, request) })
		}
		wg.Wait()
	}
	for _, v := range vms {
		v.check(t)
	}
}

// passingCrowd runs n clients that send the request concurrently, stay for settleTime and leave.
func passingCrowd(address string, n int, request []byte) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendLimit)
			if err != nil {
				return
			}
			defer conn.Close()
			if conn.SetDeadline(time.Now().Add(sendLimit)) == nil && sendPieces(conn, request, len(request), 0) {
				time.Sleep(settleTime)
			}
		})
	}
	wg.Wait()
}

// Guards against a bound that outlasts the crowd that met it: once it has left, the smallest VM serves a request with a head and a body of
// the largest legal size.
func TestLargestRequestAfterCrowd(t *testing.T) {
	const smallestMB, largest = 112, 4 << 20
	v := startVMs(t, 1, smallestMB, manyDescriptors)[0]
	d := hgsite.Desired(2)
	d.Limits.MaxBodyBytes = largest
	if err := v.site.SetDesired(d); err != nil {
		t.Fatal(err)
	}
	for name, request := range map[string][]byte{
		"heads":  unfinished(shortLines(headBytes), 2<<10),
		"bodies": unfinished("X: x", 512<<10),
	} {
		passingCrowd(v.cfg.Listen.Public, many, request)
		time.Sleep(settleTime)
		q := hgsite.Turn(hgsite.CheckPath, "large", "", strings.Repeat("x", largest))
		q.NewConn, q.Header = true, http.Header{"X-Head": {strings.Repeat("x", headBytes)}}
		if reply, err := v.site.Call(t.Context(), 0, q); err != nil || reply.Status != http.StatusOK {
			t.Errorf("after the crowd of %s: status %d, %v: %.100s", name, reply.Status, err, reply.Body)
		}
	}
	v.check(t)
}
