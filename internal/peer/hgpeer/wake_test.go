package hgpeer_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/peer/hgpeer"
)

// Guards against a VM that removes the rows of all others when it goes on after it did not run, as it heard nobody meanwhile.
func TestVMThatDidNotRunRemovesNobody(t *testing.T) {
	const step = 300 * time.Millisecond
	tests := map[string]struct {
		// pause is how long the VM does not run, and alone says that the others are gone afterwards.
		pause time.Duration
		alone bool
		gone  []string
	}{
		"ran all the time, others gone": {0, true, []string{"b", "c"}},
		"paused, others live":           {10 * time.Second, false, []string{}},
		"paused, others gone":           {10 * time.Second, true, []string{"b", "c"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: time.Minute}
			m := hgpeer.NewMembers(c, info("a", "north"))
			peers := []hgpeer.Info{info("b", "north"), info("c", "north")}
			m.SetRegistered(peers)
			run := func(d time.Duration, alone bool) (gone []hgpeer.Info) {
				for end := c.now + d; c.now < end; c.now += step {
					// After a pause the tasks of a VM run in any order.
					gone = append(gone, m.RowsToRemove()...)
					m.Targets(0)
					for _, i := range peers {
						if !alone {
							m.HandleReply(hgpeer.Beat{Info: i})
						}
					}
				}
				return gone
			}
			if gone := run(10*time.Second, false); len(gone) > 0 {
				t.Fatalf("removes %v before the pause", names(gone))
			}
			c.now += tt.pause
			if gone := run(2*time.Second, tt.alone); len(gone) > 0 {
				t.Errorf("removes %v just after the pause", names(gone))
			}
			run(3*time.Second, tt.alone)
			if diff := cmp.Diff(tt.gone, names(m.RowsToRemove())); diff != "" {
				t.Errorf("removes later (-want +got):\n%s", diff)
			}
		})
	}
}
