package hgsite_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgcodec"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/proof/hgsite"
)

// Programs whose budget half of the VMs had claimed stopped for good when these were removed for good. Kept turns leave no unused claim
// behind, so that only turns that are not kept depend on the rows of the removed VMs.
func TestProgramsGoOnWhenHalfOfVMsAreGone(t *testing.T) {
	const programs, tries = 24, 6
	tests := map[string]struct {
		path string
		kept bool
	}{
		"kept turns":             {hgsite.ThreadPath, true},
		"turns that aren't kept": {hgsite.ChatPath, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 6)
			turn := func(i int, previous string) hgsite.Request {
				q := hgsite.Turn(tt.path, fmt.Sprint("program ", i), previous, "x")
				q.Budget = q.MaxTokensOut * 12 / 5
				return q
			}
			first := make([]string, programs)
			for i := range programs {
				q := turn(i, "")
				wantStream(t, call(t, s, i%6, q))
				if tt.kept {
					first[i] = q.ID
				}
			}
			for i := range 3 {
				s.Kill(i)
			}
			time.Sleep(8 * time.Second)
			for i := range programs {
				var reply hgsite.Reply
				for range tries {
					if reply = call(t, s, 3+i%3, turn(i, first[i])); reply.Status == http.StatusOK {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				if reply.Status != http.StatusOK {
					t.Errorf("program %d: status %d: %s", i, reply.Status, reply.Body)
				}
			}
		})
	}
}

// The row of a VM that is gone stayed for ever, and that of a VM that had announced its stop made it count at VMs that started later.
func TestRowsOfVMsThatAreGone(t *testing.T) {
	s := newSite(t, 4)
	rows := func() map[string]bool {
		stopping := map[string]bool{}
		list, _, err := s.Store.List(t.Context(), "hgnode//vm-")
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range list {
			info, err := hgcodec.JSON[hgpeer.Info]{}.Decode(r.Value)
			if err != nil {
				t.Fatal(err)
			}
			stopping[strings.TrimPrefix(r.Key, "hgnode//")] = info.Stopping
		}
		return stopping
	}
	s.Nodes[0].Stop()
	s.Kill(1)
	want := map[string]bool{"vm-0": true, "vm-2": false, "vm-3": false}
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline) && !cmp.Equal(want, rows()); {
		time.Sleep(100 * time.Millisecond)
	}
	if diff := cmp.Diff(want, rows()); diff != "" {
		t.Errorf("VMs with rows, and whether these announce a stop (-want +got):\n%s", diff)
	}
	if err := s.RestartNode(1); err != nil {
		t.Fatal(err)
	}
	want["vm-1"] = false
	time.Sleep(time.Second)
	if diff := cmp.Diff(want, rows()); diff != "" {
		t.Errorf("after the return of a VM (-want +got):\n%s", diff)
	}
}
