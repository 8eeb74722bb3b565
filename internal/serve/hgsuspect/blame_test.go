package hgsuspect_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/serve/hgsuspect"
)

// named returns a request with digests as NewRequest makes them, of one service for all names.
func named(name string) hgsuspect.Request {
	return hgsuspect.NewRequest("tools", "caller of "+name, "POST", "/"+name, "", "", nil)
}

// Requests that only ran beside one that ends replicas must not be refused for it, and the guilty one must be refused after three
// further ends at the latest.
func TestBystandersAreNotRefused(t *testing.T) {
	type ends []string
	tests := map[string]struct {
		// ends holds the requests that ran at each end of a replica, and completed those that ran to completion before the first.
		ends      []ends
		completed ends
		refused   ends
	}{
		"guilty alone":                         {ends: []ends{{"guilty"}, {"guilty"}, {"guilty"}}, refused: ends{"guilty"}},
		"beside it twice":                      {ends: []ends{{"guilty", "other"}, {"guilty", "other"}, {"guilty"}}, refused: ends{"guilty"}},
		"beside it thrice, not known which":    {ends: []ends{{"guilty", "other"}, {"guilty", "other"}, {"guilty", "other"}}},
		"beside it thrice, then it ends a 4th": {ends: []ends{{"guilty", "other"}, {"guilty", "other"}, {"guilty", "other"}, {"guilty"}}, refused: ends{"guilty"}},
		"in two of its ends and another":       {ends: []ends{{"guilty", "other"}, {"guilty", "other"}, {"guilty"}, {"guilty"}, {"other"}}, refused: ends{"guilty"}},
		"in none of its ends":                  {ends: []ends{{"guilty"}, {"guilty"}, {"guilty"}, {"guilty"}, {"other"}, {"other"}, {"other"}}, refused: ends{"guilty", "other"}},
		"two guilty ones":                      {ends: []ends{{"guilty"}, {"guilty"}, {"guilty"}, {"other"}, {"other"}, {"guilty", "other"}}, refused: ends{"guilty"}},
		"four ends, not known which":           {ends: []ends{{"guilty", "other"}, {"guilty", "other"}, {"guilty", "other"}, {"guilty", "other"}}, refused: ends{"guilty", "other"}},
		"completed before, four ends": {
			ends: []ends{{"guilty", "other"}, {"guilty", "other"}, {"guilty", "other"}, {"guilty", "other"}}, completed: ends{"other"}, refused: ends{"guilty"},
		},
		"completed before, alone": {ends: []ends{{"other"}, {"other"}, {"other"}}, completed: ends{"other"}, refused: ends{"other"}},
		"six ends beside ever more": {
			ends: []ends{
				{"guilty", "a", "b"}, {"guilty", "a", "b"}, {"guilty", "a", "b"}, {"guilty", "a", "b"}, {"guilty", "a", "b"}, {"guilty", "a", "b"}, {"a"}, {"b"},
			},
			refused: ends{"a", "b", "guilty"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &clock{now: time.Minute}
			lists := []*hgsuspect.List{hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard())}
			var names ends
			for _, name := range tt.completed {
				lists[0].RecordCompletion(named(name))
				lists[1].RecordCompletion(named(name))
			}
			for i, end := range tt.ends {
				began := c.now
				c.now += 3 * time.Second
				for k, name := range end {
					names = append(names, name)
					lists[(i+k)%2].RecordCrash(named(name).WithRun(hgsuspect.Run{Replica: fmt.Sprint(i), Began: began}))
				}
				exchange(lists[0], lists[1], "0", "1", false, false)
			}
			exchange(lists[1], lists[0], "1", "0", false, false)
			slices.Sort(names)
			for i, l := range lists {
				var refused ends
				for _, name := range slices.Compact(slices.Clone(names)) {
					if _, is := l.Refused(named(name)); is {
						refused = append(refused, name)
					}
				}
				if diff := cmp.Diff(tt.refused, refused); diff != "" {
					t.Errorf("refused by list %d (-want +got):\n%s", i, diff)
				}
			}
		})
	}
}

// Whatever runs beside it and completes meanwhile, a request that ends each replica gets six of them at most in an hour, over all VMs,
// and no bystander is refused that was missing at one of them.
func TestBystandersDoNotHideCrashingRequest(t *testing.T) {
	const guilty, others, limit = "guilty", 12, 6
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		c := &clock{now: time.Hour}
		lists := []*hgsuspect.List{hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard()), hgsuspect.NewList(c, hglog.Discard())}
		crash := func(ends int, began time.Duration, names []string) {
			run := hgsuspect.Run{Replica: "a", Incarnation: fmt.Sprint(ends), Began: began}
			for _, name := range names {
				lists[r.IntN(len(lists))].RecordCrash(named(name).WithRun(run))
			}
		}
		ends, present := 0, map[string]int{}
		for c.now < 2*time.Hour-5*time.Minute {
			c.now += time.Duration(r.Int64N(int64(20 * time.Second)))
			var names []string
			for i := range others {
				name := fmt.Sprint("other-", i)
				if _, refused := lists[r.IntN(len(lists))].Refused(named(name)); refused {
					continue
				}
				if r.Float64() < 0.3 {
					names = append(names, name)
				}
			}
			if _, refused := lists[r.IntN(len(lists))].Refused(named(guilty)); !refused {
				ends++
				crash(ends, c.now-100*time.Millisecond, append(names, guilty))
				for _, name := range names {
					present[name]++
				}
			} else {
				for _, name := range names {
					lists[r.IntN(len(lists))].RecordCompletion(named(name))
				}
			}
			for i := range lists {
				for k := range lists {
					exchange(lists[i], lists[k], fmt.Sprint(i), fmt.Sprint(k), false, false)
				}
			}
		}
		if ends > limit {
			t.Errorf("seed %d: the crashing request ended %d replicas", seed, ends)
		}
		for i := range others {
			name := fmt.Sprint("other-", i)
			if left, refused := lists[0].Refused(named(name)); refused && present[name] < ends {
				t.Errorf("seed %d: %s is refused for %v after %d of %d ends", seed, name, left, present[name], ends)
			}
		}
	}
}
