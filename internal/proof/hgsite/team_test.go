package hgsite_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgstatus"
	"hyssopgrade/internal/proof/hgloopback"
	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgteam"
	hgplatform "hyssopgrade/platform"
)

// setTeams writes a desired state with teams that hold keys, and a public check route. The most urgent team is "a".
func setTeams(t *testing.T, s *hgsite.Site, version uint64, keys map[string][]string) {
	t.Helper()
	d := hgsite.Desired(version)
	d.Routes[2].Public = true
	d.Teams = hgteam.NewTeams(lo.MapToSlice(keys, func(name string, _ []string) hgteam.Team {
		return hgteam.Team{Name: name, HasPriority: true, Priority: lo.Ternary(name == "a", 0, 3)}
	})...)
	if err := s.SetDesiredKeys(d, keys); err != nil {
		t.Fatal(err)
	}
}

// withKey returns a request that carries a key.
func withKey(q hgsite.Request, key string) hgsite.Request {
	q.Header = http.Header{}
	hgplatform.SetKey(q.Header, key)
	return q
}

// awaitStatus sends a request to a VM until it is answered with a status, for the time in which changes have to be in force.
func awaitStatus(t *testing.T, s *hgsite.Site, node int, q hgsite.Request, status int) {
	t.Helper()
	const configApply = 3 * time.Second
	for deadline := time.Now().Add(configApply); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		q.ID = hgsite.NewAttempt()
		if call(t, s, node, q).Status == status {
			return
		}
	}
	t.Fatalf("VM %d: no answer with status %d", node, status)
}

var keyedCharge = hgsite.Request{Path: hgsite.ChargePath + "x", Body: "x"}

// Guards against requests that run without a key, under a team that the caller names or with a key that the replica sees, and against
// keys in logs and in what the VMs read and write.
func TestKeysOfTeams(t *testing.T) {
	var mu sync.Mutex
	var logs strings.Builder
	s, err := hgsite.NewSite(2, slog.New(slog.NewTextHandler(writerFunc(func(p []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return logs.Write(p)
	}), &slog.HandlerOptions{Level: slog.LevelDebug})))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	if err := s.WaitReady(readyLimit); err != nil {
		t.Fatal(err)
	}
	setTeams(t, s, 2, map[string][]string{"a": {"secret-a1", "secret-a2", "secret-ab"}, "b": {"secret-b", "secret-ab"}})
	for i := range s.Nodes {
		awaitStatus(t, s, i, keyedCharge, http.StatusUnauthorized)
	}
	check := hgsite.Request{Path: hgsite.CheckPath + "x", Method: http.MethodGet}
	twice := withKey(keyedCharge, "secret-a1")
	for name, values := range twice.Header {
		twice.Header[name] = append(values, values...)
	}
	forged := func(q hgsite.Request) hgsite.Request {
		q.Header = q.Header.Clone()
		if q.Header == nil {
			q.Header = http.Header{}
		}
		hgplatform.ForgeTeam(q.Header, "b")
		hgplatform.ForgeTeam(q.Header, "c")
		return q
	}
	tests := map[string]struct {
		q      hgsite.Request
		status int
		teams  []string
	}{
		"no key":              {keyedCharge, http.StatusUnauthorized, nil},
		"unknown key":         {withKey(keyedCharge, "secret-x"), http.StatusUnauthorized, nil},
		"two headers":         {twice, http.StatusUnauthorized, nil},
		"key of 64 KiB":       {withKey(keyedCharge, strings.Repeat("secret-a", 8<<10)), http.StatusUnauthorized, nil},
		"key of two teams":    {withKey(keyedCharge, "secret-ab"), http.StatusUnauthorized, nil},
		"forged, no key":      {forged(keyedCharge), http.StatusUnauthorized, nil},
		"first key":           {withKey(keyedCharge, "secret-a1"), http.StatusOK, []string{"a"}},
		"second key, forged":  {forged(withKey(keyedCharge, "secret-a2")), http.StatusOK, []string{"a"}},
		"other team":          {withKey(keyedCharge, "secret-b"), http.StatusOK, []string{"b"}},
		"public":              {check, http.StatusOK, nil},
		"public, forged":      {forged(check), http.StatusOK, nil},
		"public, unknown key": {withKey(check, "secret-x"), http.StatusOK, nil},
		"public, key, forged": {forged(withKey(check, "secret-b")), http.StatusOK, []string{"b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for i := range s.Nodes {
				q := tt.q
				q.ID = hgsite.NewAttempt()
				reply := call(t, s, i, q)
				runs := lo.Filter(s.Runs(hgsite.Tools), func(r hgsite.Run, _ int) bool { return r.Attempt == q.ID })
				if reply.Status != tt.status || len(runs) != lo.Ternary(tt.status == http.StatusOK, 1, 0) {
					t.Errorf("VM %d: status %d, %d runs", i, reply.Status, len(runs))
				}
				for _, r := range runs {
					if diff := cmp.Diff(tt.teams, r.Teams); diff != "" || r.HasKey {
						t.Errorf("VM %d: key at the replica: %t; teams (-want +got):\n%s", i, r.HasKey, diff)
					}
				}
			}
		})
	}
	status, err := hgstatus.Get(t.Context(), s.Configs[0].Listen.Metrics)
	served := lo.SliceToMap(status.Teams, func(v hgstatus.Team) (string, uint64) { return v.Name, v.Served })
	if diff := cmp.Diff(map[string]uint64{"a": 2, "b": 2}, served); err != nil || diff != "" {
		t.Errorf("%v; served by VM 0 (-want +got):\n%s", err, diff)
	}
	rows, _, err := hgplatform.NewStore(s.StoreAddress(), time.Second, nil).List(t.Context(), hgplatform.DesiredTable+"//")
	if err != nil || len(rows) != 1 || strings.Contains(string(rows[0].Value), "secret") {
		t.Errorf("rows as VMs read them: %v\n%+v", err, rows)
	}
	stored, _, err := s.Store.List(t.Context(), "")
	for _, r := range stored {
		if r.Key != hgplatform.DesiredKey && strings.Contains(r.Key+string(r.Value), "secret") {
			t.Errorf("key in row %s", r.Key)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if err != nil || strings.Contains(logs.String(), "secret") || !strings.Contains(logs.String(), "several teams") {
		t.Errorf("%v; log with a key, or without a line on the key of two teams", err)
	}
}

// writerFunc is an io.Writer.
type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// Guards against a VM that tells callers their key is invalid before it knows any.
func TestKeyBeforeDesiredState(t *testing.T) {
	s := newSite(t, 1)
	dead, err := hgloopback.FreeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.AddConfig(dead[0]); err != nil {
		t.Fatal(err)
	}
	s.Nodes = append(s.Nodes, nil)
	if err := s.StartNode(1); err != nil {
		t.Fatal(err)
	}
	if reply := call(t, s, 1, withKey(keyedCharge, "secret-a")); reply.Status != http.StatusServiceUnavailable || reply.RetryAfter() <= 0 {
		t.Errorf("status %d, retry after %v", reply.Status, reply.RetryAfter())
	}
}

// Guards against keys that are not valid soon after they are added, on VMs that serve callers or none, and against open connections on
// which a removed key stays valid.
func TestChangedKeys(t *testing.T) {
	s := newSite(t, 2)
	open := &http.Transport{MaxConnsPerHost: 1}
	t.Cleanup(open.CloseIdleConnections)
	old, added := withKey(keyedCharge, "old"), withKey(keyedCharge, "added")
	old.Via, added.Via = open, open
	setTeams(t, s, 2, map[string][]string{"a": {"old"}})
	for i := range s.Nodes {
		awaitStatus(t, s, i, added, http.StatusUnauthorized)
		awaitStatus(t, s, i, old, http.StatusOK)
	}
	setTeams(t, s, 3, map[string][]string{"a": {"old", "added"}})
	for i := range s.Nodes {
		awaitStatus(t, s, i, added, http.StatusOK)
	}
	setTeams(t, s, 4, map[string][]string{"a": {"added"}})
	for i := range s.Nodes {
		awaitStatus(t, s, i, old, http.StatusUnauthorized)
		awaitStatus(t, s, i, added, http.StatusOK)
	}
}

// Guards against a request that is sent after its key was removed while it waited, and against running requests that end with their team.
func TestKeyRemovedInQueue(t *testing.T) {
	const full = 24 // three times the slots of the one engine
	s := newSite(t, 1)
	if err := s.Unregister("engine-1"); err != nil {
		t.Fatal(err)
	}
	setTeams(t, s, 2, map[string][]string{"a": {"a", "a2"}, "b": {"b"}})
	awaitStatus(t, s, 0, keyedCharge, http.StatusUnauthorized)
	s.Replicas["engine-0"].SetPause(300 * time.Millisecond)
	turn := hgsite.Request{Path: hgsite.ChatPath + "x", Body: "x"}
	var wg sync.WaitGroup
	send := func(key string, check func(q hgsite.Request, r hgsite.Reply)) {
		wg.Go(func() {
			q := withKey(turn, key)
			q.ID = hgsite.NewAttempt()
			reply, err := s.Call(context.Background(), 0, q)
			if err != nil {
				t.Error(err)
			}
			check(q, reply)
		})
	}
	for range full {
		send("b", func(_ hgsite.Request, r hgsite.Reply) {
			if r.Status != http.StatusOK || !r.Complete || len(r.Events) != hgsite.Events {
				t.Errorf("running request: status %d, complete %v", r.Status, r.Complete)
			}
		})
	}
	engine := s.Replicas["engine-0"]
	for deadline := time.Now().Add(time.Second); engine.Arrivals() < full && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	for key, status := range map[string]int{"a": http.StatusUnauthorized, "a2": http.StatusOK, "b": http.StatusUnauthorized} {
		send(key, func(q hgsite.Request, r hgsite.Reply) {
			if ran := bodyOf(s, q.ID) != ""; r.Status != status || ran != (status == http.StatusOK) {
				t.Errorf("request with key %s that waited: status %d, ran %v: %s", key, r.Status, ran, r.Body)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	if n := engine.Arrivals(); n != full {
		t.Fatalf("%d requests at the engine", n)
	}
	setTeams(t, s, 3, map[string][]string{"a": {"a2"}})
	wg.Wait()
}

// Guards against a turn that another team continues, through any VM, and against turns from before teams that are lost with them.
func TestRetainedTurnsOfTeams(t *testing.T) {
	s := newSite(t, 2)
	thread := func(key, previous string) hgsite.Request {
		return withKey(hgsite.Turn(hgsite.ThreadPath, "p", previous, fmt.Sprint("by ", key)), key)
	}
	before := thread("a", "")
	wantStream(t, call(t, s, 0, before))
	setTeams(t, s, 2, map[string][]string{"a": {"a"}, "b": {"b"}})
	for i := range s.Nodes {
		awaitStatus(t, s, i, keyedCharge, http.StatusUnauthorized)
	}
	first := thread("a", before.ID)
	wantStream(t, call(t, s, 0, first))
	missing := call(t, s, 0, thread("b", "zz"))
	for i := range s.Nodes {
		if reply := call(t, s, i, thread("b", first.ID)); reply.Status != http.StatusNotFound || reply.Body != missing.Body {
			t.Errorf("VM %d: turn of another team: status %d: %s; of none: %s", i, reply.Status, reply.Body, missing.Body)
		}
		wantStream(t, call(t, s, i, thread("b", before.ID)))
		wantStream(t, call(t, s, i, thread("a", first.ID)))
	}
}
