package hgsite_test

import (
	"io"
	"net"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
)

// Guards against a refusal that a replica writes to each new connection, and that counts for the request which it then runs.
func TestRefusalBeforeRequestIsNoAnswer(t *testing.T) {
	s := newSite(t, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	refusal := rawHead("503 Service Unavailable", hgattempt.Answer{NotRun: true}, "Content-Length: 0")
	r := &rawReplica{runs: map[string]int{}, answer: func(_ int, q rawRequest) (data string, ran, end bool) { return rawAnswer(q.ID), true, false }}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := io.WriteString(conn, refusal); err != nil {
				conn.Close()
				continue
			}
			go r.serveConn(conn)
		}
	}()
	registerAllAt(t, s, l.Addr().String())
	time.Sleep(applyLimit)
	statuses := map[string]int{}
	for range 60 {
		q := charge(0)
		q.ID = hgsite.NewAttempt()
		statuses[q.ID] = callWithin(t, s, q, answerLimit).Status
	}
	time.Sleep(100 * time.Millisecond)
	wantPromisesKept(t, r.Runs(), statuses)
}
