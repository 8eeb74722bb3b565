package hgsite_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/proof/hgsite"
)

// Guards against a retained turn that its caller resumes and that is stored without the events from before, so that the turns after it
// run without them.
func TestResumedTurnIsKeptWhole(t *testing.T) {
	s := newSite(t, 2)
	d := hgsite.Desired(2)
	d.Routes[1].Resumable = true
	if err := s.SetDesired(d); err != nil {
		t.Fatal(err)
	}
	time.Sleep(applyLimit)
	type answer struct {
		Status   int
		Complete bool
		IDs      []string
	}
	tests := map[string]struct {
		lastEvents []string
		fault      hgsite.Fault
		want       answer
	}{
		"once":                              {[]string{"2"}, hgsite.Fault{}, answer{http.StatusOK, true, []string{"3", "4"}}},
		"twice":                             {[]string{"1", "3"}, hgsite.Fault{}, answer{http.StatusOK, true, []string{"4"}}},
		"after its last event":              {[]string{"4"}, hgsite.Fault{}, answer{http.StatusOK, true, nil}},
		"replica breaks off among old ones": {[]string{"3"}, hgsite.Fault{CutAfterEvents: 1}, answer{http.StatusOK, true, []string{"4"}}},
		"replica breaks off among new ones": {[]string{"1"}, hgsite.Fault{ResetAfter: 2}, answer{http.StatusOK, true, []string{"2", "3", "4"}}},
		"beyond its end":                    {[]string{"9"}, hgsite.Fault{}, answer{http.StatusBadGateway, true, nil}},
		"no such event":                     {[]string{"x"}, hgsite.Fault{}, answer{http.StatusBadGateway, true, nil}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first := hgsite.Turn(hgsite.ThreadPath, "resumed "+name, "", "first "+name+"\n")
			tt.fault.Remaining, tt.fault.Match = 1, func(r hgsite.Run) bool { return r.LastEvent == "" }
			for _, r := range s.Replicas {
				r.SetFault(tt.fault)
				defer r.SetFault(hgsite.Fault{})
			}
			var got answer
			for i, last := range tt.lastEvents {
				first.ID, first.LastEvent = hgsite.NewAttempt(), last
				reply := call(t, s, i%2, first)
				got = answer{reply.Status, reply.Complete, reply.IDs}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Fatalf("resumed turn (-want +got):\n%s", diff)
			}
			second := hgsite.Turn(hgsite.ThreadPath, "resumed "+name, first.ID, "second\n")
			reply := call(t, s, 1, second)
			if tt.want.Status != http.StatusOK {
				if reply.Status != http.StatusNotFound {
					t.Errorf("next turn has status %d, want 404: the turn was not served whole", reply.Status)
				}
				return
			}
			wantStream(t, reply)
			if diff := cmp.Diff(first.Body+s.Replicas["engine-0"].Output()+second.Body, bodyOf(s, second.ID)); diff != "" {
				t.Errorf("body of the next turn (-want +got):\n%s", diff)
			}
		})
	}
}
