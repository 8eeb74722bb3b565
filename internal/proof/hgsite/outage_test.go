package hgsite_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgattempt"
)

// While the store is unreachable, a turn that follows a retained turn is refused as unavailable, never answered as if the
// previous turn did not exist. It is served after the outage. Charges are served throughout.
func TestStoreOutage(t *testing.T) {
	s := newSite(t, 2)
	first := hgsite.Turn(hgsite.ThreadPath, "p", "", "first ")
	wantStream(t, call(t, s, 0, first))
	outage(s, true)
	time.Sleep(time.Second)
	q := hgsite.Turn(hgsite.ThreadPath, "q", first.ID, "x")
	if reply := call(t, s, 1, q); reply.Status != http.StatusServiceUnavailable || reply.Header.Get("Retry-After") == "" {
		t.Errorf("during the outage: status %d, %v", reply.Status, reply.Header)
	}
	if reply := call(t, s, 1, hgsite.Request{Path: hgsite.ChargePath, Attempt: hgattempt.Attempt{}}); reply.Status != http.StatusOK {
		t.Errorf("a charge during the outage: status %d", reply.Status)
	}
	outage(s, false)
	time.Sleep(time.Second)
	wantStream(t, call(t, s, 1, hgsite.Turn(hgsite.ThreadPath, "q", first.ID, "x")))
}

// While the store is unreachable, programs in progress continue with the tokens that the ledger of their owner claimed before the
// outage.
func TestOutageUnderWay(t *testing.T) {
	s := newSite(t, 6)
	const programs = 12
	turn := func(i int) hgsite.Request {
		return hgsite.Turn(hgsite.ChatPath, fmt.Sprint("under way ", i), "", "x")
	}
	for i := range programs {
		wantStream(t, call(t, s, 0, turn(i)))
	}
	outage(s, true)
	time.Sleep(1500 * time.Millisecond)
	for i := range programs {
		// VM 3 is in the failure domain of VM 0, so both send a program's turns to the same owner, whose ledger holds the share.
		if reply := call(t, s, 3*(i%2), turn(i)); reply.Status != http.StatusOK {
			t.Errorf("program %d: status %d: %s", i, reply.Status, reply.Body)
		}
	}
}
