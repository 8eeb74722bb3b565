package hgsite_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgstatus"
	"hyssopgrade/internal/proof/hgsite"
)

// The status of an entry VM shows the version of its desired state, its peers and, for each replica that gets no requests, the
// reason.
func TestStatus(t *testing.T) {
	s := newSite(t, 2)
	e := s.Replicas["engine-1"].Entry
	e.Leaving = true
	if err := s.Register(e); err != nil {
		t.Fatal(err)
	}
	var got hgstatus.Status
	outReasons := map[string]string{}
	for deadline := time.Now().Add(applyLimit); outReasons["engine-1"] == "" && time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		var err error
		if got, err = hgstatus.Get(t.Context(), s.Configs[0].Listen.Metrics); err != nil {
			t.Fatal(err)
		}
		for _, service := range got.Services {
			for _, r := range service.Replicas {
				outReasons[r.ID] = r.Out
			}
		}
	}
	if diff := cmp.Diff(map[string]string{"engine-0": "", "engine-1": "leaving", "tool-0": "", "tool-1": ""}, outReasons); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
	if got.VM != "vm-0" || got.Version != 1 || !got.StoreOK || got.Placer != "vm-0" || len(got.Peers) != 1 || !got.Peers[0].Live {
		t.Errorf("status %+v", got)
	}
	if !lo.EveryBy(got.Tables, func(t hgstatus.Table) bool { return t.Changed > 0 && t.Failing == 0 }) {
		t.Errorf("tables %+v", got.Tables)
	}
	var text strings.Builder
	if err := got.Write(&text); err != nil || !strings.Contains(text.String(), "out: leaving") || !strings.Contains(text.String(), hgsite.Engines) {
		t.Errorf("%v\n%s", err, text.String())
	}
}

// All programs of a play complete or exhaust their budgets while a VM stops gracefully in the middle.
func TestPlay(t *testing.T) {
	s := newSite(t, 4)
	time.AfterFunc(700*time.Millisecond, s.Nodes[1].Stop)
	p := s.Play(t.Context(), 30, 1)
	if p.Done != 27 || p.Stopped != 3 {
		t.Error(p)
	}
}
