package hgsite_test

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/proof/hgsite"
	"hyssopgrade/internal/serve/hgteam"
)

// Guards against a VM that serves keys although it is cut off from the store and from its peers, against one that refuses them while a
// peer that reaches the store vouches for it, and against public routes that end with the evidence.
func TestKeysOfCutVM(t *testing.T) {
	const revoke = 2500 * time.Millisecond
	s, err := hgsite.NewSite(0, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	// setTeams writes a desired state in which the check route is public and the team has the given keys.
	setTeams := func(version uint64, keys ...string) {
		t.Helper()
		d := hgsite.Desired(version)
		d.Routes[2].Public = true
		d.Teams = hgteam.NewTeams(hgteam.Team{Name: "team", Keys: lo.Map(keys, func(k string, _ int) hgteam.KeyDigest { return hgteam.DigestKey(k) })})
		if err := s.SetDesired(d); err != nil {
			t.Fatal(err)
		}
	}
	setTeams(2, "kept", "removed", "last")
	var cut atomic.Bool
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.StoreAddress()})
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if cut.Load() {
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	for i, store := range []string{s.StoreAddress(), srv.Listener.Addr().String()} {
		if _, err := s.AddConfig(store); err != nil {
			t.Fatal(err)
		}
		s.Configs[i].Teams.StrictRevoke, s.Configs[i].Teams.RevokeMs = true, float64(revoke.Milliseconds())
		s.Nodes = append(s.Nodes, nil)
		if err := s.StartNode(i); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.WaitReady(readyLimit); err != nil {
		t.Fatal(err)
	}
	// status returns what VM 1 answers to a request with a key, and the public one to a request without any.
	status := func(key string) int {
		return call(t, s, 1, hgsite.Request{Path: hgsite.ChargePath, Header: http.Header{"Authorization": {"Token " + key}}}).Status
	}
	public := func() int { return call(t, s, 1, hgsite.Request{Path: hgsite.CheckPath}).Status }
	await := func(key string, want int) {
		t.Helper()
		for deadline := time.Now().Add(2 * revoke); status(key) != want; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("key %q: status %d, want %d: %+v", key, status(key), want, *s.Nodes[1].Status().Freshness)
			}
		}
	}
	await("kept", http.StatusOK)
	cut.Store(true)
	for end := time.Now().Add(2 * revoke); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := status("kept"); got != http.StatusOK {
			t.Fatalf("cut off from the store only: status %d, %+v", got, *s.Nodes[1].Status().Freshness)
		}
	}
	setTeams(3, "kept", "last")
	removed := time.Now()
	await("removed", http.StatusUnauthorized)
	if took := time.Since(removed); took > revoke {
		t.Errorf("a removed key was served for %v, want at most %v", took, revoke)
	}
	if got := status("kept"); got != http.StatusOK {
		t.Errorf("after the change: status %d", got)
	}
	s.Kill(0)
	setTeams(4, "kept")
	cutOff := time.Now()
	await("last", http.StatusServiceUnavailable)
	if took := time.Since(cutOff); took > revoke {
		t.Errorf("a removed key was served for %v after the last peer was gone, want at most %v", took, revoke)
	}
	if got := public(); got != http.StatusOK {
		t.Errorf("public route without evidence: status %d", got)
	}
	cut.Store(false)
	await("kept", http.StatusOK)
	if got := status("last"); got != http.StatusUnauthorized {
		t.Errorf("removed key after the cut: status %d", got)
	}
}
