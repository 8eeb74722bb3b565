package hghostile_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
	hgplatform "hyssopgrade/platform"
)

const (
	// bodyLimit is max_body_bytes of the site's desired state.
	bodyLimit = 1 << 20
	// senders is the number of clients that send bodies: together they send 1.5 times the memory of the VM.
	senders = 96
	// holders is the number of clients that only hold connections: more than the VM has descriptors.
	holders = 400
	// sendLimit bounds a client's writes, as a process may stop reading. It ends a client, it checks nothing.
	sendLimit = 15 * time.Second
)

// client is one client of a crowd. It returns at an error or once it has sent all that it sends; its connection stays open.
type client func(conn net.Conn)

// crowd runs n clients at an address concurrently. All connections stay open until the test ends.
func crowd(t *testing.T, address string, n int, run client) {
	t.Helper()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendLimit)
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			if err := conn.SetDeadline(time.Now().Add(sendLimit)); err != nil {
				return
			}
			run(conn)
		})
	}
	wg.Wait()
}

// head returns a request's head with further lines.
func head(lines ...string) string {
	h := http.Header{}
	hgplatform.EncodeAttempt(h, hgattempt.Attempt{ID: hgsite.NewAttempt()})
	var b strings.Builder
	if err := h.Write(&b); err != nil {
		panic(err)
	}
	return "POST " + hgsite.CheckPath + "x HTTP/1.1\r\nHost: " + hgsite.Host + "\r\n" + b.String() + strings.Join(append(lines, "", ""), "\r\n")
}

func declare(n int) string { return head(fmt.Sprintf("Content-Length: %d", n)) }

const chunkedLine = "Transfer-Encoding: chunked"

// sendPieces writes data in pieces and reports whether all was written.
func sendPieces(conn net.Conn, data []byte, piece int, pause time.Duration) bool {
	for len(data) > 0 {
		n := min(piece, len(data))
		if _, err := conn.Write(data[:n]); err != nil {
			return false
		}
		data = data[n:]
		time.Sleep(pause)
	}
	return true
}

// chunks returns size bytes in chunks, without the last chunk that ends a body.
func chunks(size, chunk int) []byte {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return bytes.Repeat([]byte(one), size/chunk)
}

var body = bytes.Repeat([]byte("x"), 16*bodyLimit)

// Guards against bodies of legal size that exhaust the VM's memory: clients send them concurrently, stop just short of the end and
// stay connected.
func TestUnfinishedBodies(t *testing.T) {
	large, tiny := chunks(bodyLimit, 128<<10), chunks(bodyLimit, 3)
	tests := map[string]client{
		"declared": func(conn net.Conn) {
			sendPieces(conn, append([]byte(declare(bodyLimit)), body[:bodyLimit-1]...), 2*bodyLimit, 0)
		},
		"piece by piece": func(conn net.Conn) {
			sendPieces(conn, append([]byte(declare(bodyLimit)), body[:bodyLimit-1]...), 16<<10, time.Millisecond)
		},
		"chunked large": func(conn net.Conn) {
			sendPieces(conn, append([]byte(head(chunkedLine)), large[:len(large)-3]...), 2*bodyLimit, 0)
		},
		"chunked tiny": func(conn net.Conn) {
			sendPieces(conn, append([]byte(head(chunkedLine)), tiny[:len(tiny)-3]...), 64<<10, 0)
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			v := startVM(t)
			crowd(t, v.cfg.Listen.Public, senders, run)
			v.check(t)
		})
	}
}

// Guards against bodies beyond the limit that are read into memory or waited for, and against a refusal that the caller does not see
// because its connection is reset.
func TestBodiesOverTheLimit(t *testing.T) {
	sent := append([]byte(head(chunkedLine)), chunks(8*bodyLimit, 64<<10)...)
	tests := map[string]struct {
		crowd client
		// one is the request of a client that sends twice the limit and reads after that.
		one []byte
	}{
		"declared": {
			func(conn net.Conn) {
				if sendPieces(conn, append([]byte(declare(8*bodyLimit)), body[:8*bodyLimit-1]...), bodyLimit, 0) {
					_, _ = io.Copy(io.Discard, conn) // the client reads until the server or its own deadline ends it
				}
			},
			append([]byte(declare(2*bodyLimit)), body[:2*bodyLimit]...),
		},
		"sent": {
			func(conn net.Conn) {
				if sendPieces(conn, sent, bodyLimit, 0) {
					_, _ = io.Copy(io.Discard, conn) // the client reads until the server or its own deadline ends it
				}
			},
			append(append([]byte(head(chunkedLine)), chunks(2*bodyLimit, 64<<10)...), "0\r\n\r\n"...),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := startVM(t)
			crowd(t, v.cfg.Listen.Public, senders, tt.crowd)
			v.check(t)
			checkTooLarge(t, v.cfg.Listen.Public, tt.one)
		})
	}
}

// checkTooLarge checks that a client that writes its whole request before it reads gets status 413.
func checkTooLarge(t *testing.T, address string, request []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(answerLimit)); err != nil {
		t.Fatal(err)
	}
	if !sendPieces(conn, request, 16<<10, 0) {
		t.Error("the connection was reset before the request was written")
	}
	reply := make([]byte, len("HTTP/1.1 413"))
	if _, err := io.ReadFull(conn, reply); err != nil || string(reply) != "HTTP/1.1 413" {
		t.Errorf("got %q (%v), want status 413", reply, err)
	}
}

// endlessHead writes header lines until the connection fails or 1 MiB are written.
func endlessHead(conn net.Conn) {
	request := "POST " + hgsite.CheckPath + "x HTTP/1.1\r\nHost: " + hgsite.Host + "\r\n"
	for i := 0; len(request) < bodyLimit; i++ {
		request += fmt.Sprintf("X-Line-%d: %s\r\n", i, body[:100+1000*(i&1)])
	}
	sendPieces(conn, []byte(request), 16<<10, time.Millisecond)
}

// shortHead writes 12 KiB of header lines, less than the limit, and no end.
func shortHead(conn net.Conn) {
	request := "POST " + hgsite.CheckPath + "x HTTP/1.1\r\nHost: " + hgsite.Host + "\r\n"
	for i := 0; len(request) < 12<<10; i++ {
		request += fmt.Sprintf("X-Line-%d: x\r\n", i)
	}
	sendPieces(conn, []byte(request), 1<<10, time.Millisecond)
}

// oneRequest sends an ordinary request and reads the first bytes of its answer.
func oneRequest(conn net.Conn) {
	if sendPieces(conn, append([]byte(declare(1)), 'x'), 16<<10, 0) {
		_, _ = conn.Read(make([]byte, 1<<10)) // an error means that the server has closed the connection
	}
}

// Guards against connections that use up the VM's descriptors or memory without a complete request: heads that never end, within the
// limit and beyond it, connections that never send, and connections that stay open after one request.
func TestHeldConnections(t *testing.T) {
	for name, run := range map[string]client{
		"endless head": endlessHead, "unfinished head": shortHead, "silent": func(net.Conn) {}, "idle after a request": oneRequest,
	} {
		t.Run(name, func(t *testing.T) {
			v := startVM(t)
			crowd(t, v.cfg.Listen.Public, holders, run)
			v.check(t)
		})
	}
}

// Guards against bodies that are sent ahead on one connection without reading the answers.
func TestPipelinedBodies(t *testing.T) {
	var requests []byte
	for range 64 {
		requests = append(append(requests, declare(128<<10)...), body[:128<<10]...)
	}
	v := startVM(t)
	crowd(t, v.cfg.Listen.Public, senders, func(conn net.Conn) { sendPieces(conn, requests, bodyLimit, 0) })
	v.check(t)
}

// Guards against answers that nobody reads, whose bytes the VM holds.
func TestUnreadAnswers(t *testing.T) {
	v := startVM(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	replica := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := hgplatform.Dialect{}.DecodeAttempt(r.Header)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		hgplatform.EncodeAnswer(w.Header(), hgattempt.Answer{AttemptID: a.ID, Sealed: true})
		_, _ = w.Write(body[:bodyLimit]) // an error means that the VM has closed the connection
	})}
	t.Cleanup(func() { replica.Close() })
	go func() { _ = replica.Serve(l) }()
	for _, r := range v.site.Replicas {
		r.Entry.Address = l.Addr().String()
		if err := v.site.Register(r.Entry); err != nil {
			t.Fatal(err)
		}
	}
	v.checkAnswers(t)
	crowd(t, v.cfg.Listen.Public, senders, func(conn net.Conn) {
		sendPieces(conn, []byte(strings.Repeat(declare(1)+"x", 8)), 1<<20, 0)
	})
	v.check(t)
}

// Guards against clients of the ports that are not meant for callers: connections that never send and heads that never end use no more
// than the VM's descriptors and memory, and neither do messages at the port of peers that stop short of their length.
func TestOtherPorts(t *testing.T) {
	message := append([]byte{0xfc, 0, 0x20, 0, 0}, body[:2*bodyLimit-1]...) // the length of a gob message, 2 MiB, and a byte less
	tests := map[string]struct {
		port    func(v *vm) string
		clients int
		run     client
	}{
		"ready":               {func(v *vm) string { return v.cfg.Listen.Ready }, holders, endlessHead},
		"directory":           {func(v *vm) string { return v.cfg.Listen.Directory }, holders, shortHead},
		"metrics":             {func(v *vm) string { return v.cfg.Listen.Metrics }, holders, endlessHead},
		"peer, silent":        {func(v *vm) string { return v.cfg.Listen.Peer }, holders, func(net.Conn) {}},
		"peer, long messages": {func(v *vm) string { return v.cfg.Listen.Peer }, senders, func(conn net.Conn) { sendPieces(conn, message, 64<<10, 0) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := startVM(t)
			crowd(t, tt.port(v), tt.clients, tt.run)
			v.check(t)
		})
	}
}
