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
	// turns is the number of programs of a crowd whose turns are stored. turnBytes is the input of every other one, shortTurnBytes that of
	// the rest, which are taken with less memory left: together they are more than the VM's memory.
	turns          = 600
	turnBytes      = 256 << 10
	shortTurnBytes = 16 << 10
	// longTurns is the number of turns of turnBytes in a program whose last turn is continued.
	longTurns = 4
	// endlessTurns is the number of turns whose answers do not end.
	endlessTurns = 32
	// turnSenders is the number of clients that send them.
	turnSenders = 4
)

// turn sends a turn of a program that is to be stored.
func (v *vm) turn(t *testing.T, program, previous, input string) (id string, reply hgsite.Reply, err error) {
	q := hgsite.Turn(hgsite.ThreadPath, program, previous, input)
	q.NewConn = true
	reply, err = v.site.Call(t.Context(), 0, q)
	return q.ID, reply, err
}

// Guards against short turns that continue a long one, each of which takes the text of the whole program.
func TestBurstOfContinuations(t *testing.T) {
	v := startVMs(t, 1, memoryMB, manyDescriptors)[0]
	input := strings.Repeat("x", turnBytes)
	previous := ""
	for range longTurns {
		id, reply, err := v.turn(t, "long", previous, input)
		if err != nil || reply.Status != http.StatusOK {
			t.Fatalf("status %d, %v: %.100s", reply.Status, err, reply.Body)
		}
		previous = id
	}
	var wg sync.WaitGroup
	for range turns {
		wg.Go(func() {
			_, _, _ = v.turn(t, "long", previous, "x") // the VM may refuse it
		})
	}
	wg.Wait()
	if _, reply, err := v.turn(t, "long", previous, "x"); err != nil || reply.Status != http.StatusOK || !reply.Complete {
		t.Errorf("after the burst: status %d, %v: %.100s", reply.Status, err, reply.Body)
	}
	v.check(t)
}

// Guards against texts of stored turns that fill the VM's memory after their requests have ended: turns of ordinary size are served once
// the crowd has left, and programs go on whose texts are no longer in memory.
func TestTurnsAfterCrowdOfTurns(t *testing.T) {
	v := startVMs(t, 1, memoryMB, manyDescriptors)[0]
	input := strings.Repeat("x", turnBytes)
	turn := func(program, previous, input string) (id string, reply hgsite.Reply, err error) {
		return v.turn(t, program, previous, input)
	}
	first, reply, err := turn("first", "", "hello")
	if err != nil || reply.Status != http.StatusOK {
		t.Fatalf("first turn: status %d, %v", reply.Status, err)
	}
	var wg sync.WaitGroup
	for sender := range turnSenders {
		wg.Go(func() {
			for i := range turns / turnSenders {
				size := turnBytes
				if i%2 == 1 {
					size = shortTurnBytes
				}
				_, _, _ = turn(fmt.Sprintf("crowd-%d-%d", sender, i), "", input[:size]) // the VM may refuse it
			}
		})
	}
	wg.Wait()
	time.Sleep(settleTime)
	for program, previous := range map[string]string{"ordinary": "", "first": first} {
		if _, reply, err := turn(program, previous, input[:26_000]); err != nil || reply.Status != http.StatusOK || !reply.Complete {
			t.Errorf("program %s: status %d, %v: %.100s", program, reply.Status, err, reply.Body)
		}
	}
	v.check(t)
}

// Guards against answers without end, whose events are collected for turns that are stored.
func TestEndlessAnswersOfStoredTurns(t *testing.T) {
	v := startVMs(t, 1, memoryMB, manyDescriptors)[0]
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	engine := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a, err := hgplatform.Dialect{}.DecodeAttempt(r.Header)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		hgplatform.EncodeAnswer(w.Header(), hgattempt.Answer{AttemptID: a.ID, Sealed: true})
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; err == nil; i++ {
			_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, body[:4<<10])
		}
	})}
	t.Cleanup(func() { engine.Close() })
	go func() { _ = engine.Serve(l) }()
	for _, r := range v.site.Replicas {
		if r.Entry.Service != hgsite.Engines {
			continue
		}
		r.Entry.Address = l.Addr().String()
		if err := v.site.Register(r.Entry); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(settleTime) // until the VM has the new addresses
	crowd(t, v.cfg.Listen.Public, endlessTurns, func(conn net.Conn) {
		q := hgsite.Turn(hgsite.ThreadPath, "endless"+hgsite.NewAttempt(), "", "x")
		q.HasBudget = false
		h := http.Header{}
		hgplatform.EncodeAttempt(h, q.Attempt)
		var request bytes.Buffer
		fmt.Fprintf(&request, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 1\r\n", q.Path, hgsite.Host)
		_ = h.Write(&request) // a buffer takes all bytes
		request.WriteString("\r\nx")
		if sendPieces(conn, request.Bytes(), request.Len(), 0) {
			_, _ = io.Copy(io.Discard, conn) // the client reads until the VM or its own deadline ends it
		}
	})
	v.check(t)
}
