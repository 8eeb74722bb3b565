package hgsite_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgteam"
)

// Guards against requests beyond a usage cap that callers use through all VMs at once, also when one VM ends, against refusals of a team
// below its cap, and against requests that run although their caller was refused.
func TestUsageCaps(t *testing.T) {
	const window = 5
	s := newSite(t, 3)
	for i := range s.Nodes {
		s.Kill(i)
		s.Configs[i].Teams = hgconfig.EntryTeams{CapWindowSeconds: window, CapOverage: 0.1, CapSlack: 20}
		if err := s.RestartNode(i); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.WaitReady(readyLimit); err != nil {
		t.Fatal(err)
	}
	small := hgteam.Cap{Rate: 10, Burst: 10}
	d := hgsite.Desired(2)
	d.Teams = hgteam.NewTeams(hgteam.Team{Name: "hot", Cap: small}, hgteam.Team{Name: "below", Cap: hgteam.Cap{Rate: 1000, Burst: 1000}}, hgteam.Team{Name: "free"})
	if err := s.SetDesiredKeys(d, map[string][]string{"hot": {"secret-hot"}, "below": {"secret-below"}, "free": {"secret-free"}}); err != nil {
		t.Fatal(err)
	}
	for i := range s.Nodes {
		awaitStatus(t, s, i, withKey(keyedCharge, "secret-free"), http.StatusOK)
	}
	// A VM that has restarted owns no team until the others count it.
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var sent []time.Time
	statuses := map[string]map[int]int{"hot": {}, "below": {}, "free": {}}
	refused := map[string]bool{}
	var wg sync.WaitGroup
	began := time.Now()
	for name, pause := range map[string]time.Duration{"hot": 10 * time.Millisecond, "below": 20 * time.Millisecond, "free": 20 * time.Millisecond} {
		for i := range s.Nodes {
			wg.Go(func() {
				for time.Since(began) < 2*window*time.Second {
					time.Sleep(pause)
					if i == 2 && time.Since(began) > window*time.Second {
						return // This VM ends below.
					}
					q := withKey(keyedCharge, "secret-"+name)
					q.ID = hgsite.NewAttempt()
					at := time.Now()
					reply, err := s.Call(context.Background(), i, q)
					if err != nil {
						t.Errorf("%s at VM %d: %v", name, i, err)
						return
					}
					mu.Lock()
					statuses[name][reply.Status]++
					switch {
					case reply.Status == http.StatusOK && name == "hot":
						sent = append(sent, at)
					case reply.Status != http.StatusOK:
						refused[q.ID] = true
						if reply.RetryAfter() <= 0 {
							t.Errorf("%s: status %d without Retry-After", name, reply.Status)
						}
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(window*time.Second + 500*time.Millisecond)
	s.Kill(2)
	wg.Wait()
	t.Logf("statuses %v", statuses)
	most := 0
	for _, from := range sent {
		most = max(most, lo.CountBy(sent, func(at time.Time) bool { return !at.Before(from) && at.Sub(from) < window*time.Second }))
	}
	if limit := int((small.Rate*window+small.Burst)*1.1 + 20); most > limit {
		t.Errorf("%d requests of the hot team in %d s, want at most %d", most, window, limit)
	}
	if statuses["hot"][http.StatusOK] == 0 || statuses["hot"][http.StatusTooManyRequests] == 0 {
		t.Errorf("hot team: %v, want requests within the cap and refusals beyond it", statuses["hot"])
	}
	if n := statuses["below"][http.StatusTooManyRequests] + statuses["free"][http.StatusTooManyRequests]; n > 0 {
		t.Errorf("%d requests of teams below their caps refused with 429", n)
	}
	for _, run := range s.Runs(hgsite.Tools) {
		if refused[run.Attempt] {
			t.Errorf("request %s was refused and ran", run.Attempt)
		}
	}
}
