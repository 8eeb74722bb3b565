package hghostile_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

const (
	// turns is the number of programs of a crowd whose turns are stored. turnBytes is the input of every other one, shortTurnBytes that of
	// the rest, which are taken with less memory left: together they are more than the VM's memory.
	turns          = 600
	turnBytes      = 256 << 10
	shortTurnBytes = 16 << 10
	// longTurns is the number of turns of turnBytes in a program whose last turn is continued.
	longTurns = 4
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
