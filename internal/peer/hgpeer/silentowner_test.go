package hgpeer_test

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgreach"
)

// pausedOwner is a peer that answers nothing until it is resumed, and then all calls.
type pausedOwner struct {
	hgpeer.Handler
	resume chan struct{}

	mu    sync.Mutex
	calls []string
}

func (o *pausedOwner) note(call string) {
	o.mu.Lock()
	o.calls = append(o.calls, call)
	o.mu.Unlock()
	<-o.resume
}

func (o *pausedOwner) Open(hgledger.OpenRequest) hgledger.OpenReply {
	o.note("open")
	return hgledger.OpenReply{Verdict: hgledger.Granted, Most: 10}
}

func (o *pausedOwner) Close(hgledger.CloseRequest) error {
	o.note("close")
	return nil
}

// holderBackup answers that one ledger holds a share of each budget.
type holderBackup struct {
	hgledger.Backup
	holder string
}

func (b holderBackup) Ask(context.Context, hgledger.SoleRequest) hgledger.Answers {
	return hgledger.Answers{Holding: 1, Taken: map[string]int{b.holder: 100}}
}

func (holderBackup) RowsMayBeStale() bool { return false }

func (holderBackup) LacksMajority() bool { return false }

// Guards against a turn that its owner grants and then gives back, as the withdrawal of an earlier question overtakes a second one: its
// tokens are counted nowhere.
func TestOwnerThatWasGivenUpIsNotAskedAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	owner := &pausedOwner{resume: make(chan struct{})}
	go func() { _ = hgpeer.Serve(l, owner, hgpeer.Bounds{}) }() // ends with the listener
	timer := hgtimer.NewService()
	defer timer.Close()
	m := hgpeer.NewMembers(timer, hgpeer.Info{Name: "self", Boot: "self/1", Started: 1, Ready: true})
	m.HandleReply(hgpeer.Beat{Info: hgpeer.Info{Name: "owner", Boot: "owner/1", Started: 1, Ready: true, StoreOK: true, Peer: l.Addr().String()}})
	ledger := hgledger.NewLedger("self/1", hgstore.NewMemory(), timer, hglog.Discard(),
		hgledger.WithBackup(holderBackup{holder: "owner/1"}), hgledger.WithReachability(func() hgreach.State { return hgreach.Slow }))
	programs := hgpeer.NewPrograms(ledger, m, hgpeer.NewClient(nil), hglog.Discard())
	programs.Open(t.Context(), hgledger.OpenRequest{Program: "p", Attempt: "x", Budget: 100, Most: 10, HasBudget: true})
	close(owner.resume)
	time.Sleep(100 * time.Millisecond)
	owner.mu.Lock()
	defer owner.mu.Unlock()
	slices.Sort(owner.calls)
	if diff := cmp.Diff([]string{"close", "open"}, owner.calls); diff != "" {
		t.Errorf("calls to the owner (-want +got):\n%s", diff)
	}
}
