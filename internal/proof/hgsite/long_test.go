package hgsite_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
)

// Guards against a kept turn with a long input, within the limit of the desired state, that is cut before its end.
func TestLongTurnIsKept(t *testing.T) {
	s := newSite(t, 3)
	d := hgsite.Desired(2)
	d.Limits.MaxBodyBytes = 4 << 20
	if err := s.SetDesired(d); err != nil {
		t.Fatal(err)
	}
	time.Sleep(applyLimit)
	want, previous := "", ""
	for i, size := range []int{1_500_000, 10, 10} {
		q := hgsite.Turn(hgsite.ThreadPath, "p", previous, strings.Repeat(fmt.Sprint(i), size))
		reply := call(t, s, i, q)
		// A VM may refuse a turn whose history takes it too long to read, but not in each of five tries.
		for try := 1; try < 5 && reply.Status == http.StatusServiceUnavailable; try++ {
			time.Sleep(reply.RetryAfter())
			reply = call(t, s, i, q)
		}
		wantStream(t, reply)
		want += q.Body
		if got := bodyOf(s, q.ID); got != want {
			t.Fatalf("turn %d: engine read %d bytes, want %d", i, len(got), len(want))
		}
		want += s.Replicas["engine-0"].Output()
		previous = q.ID
	}
}
