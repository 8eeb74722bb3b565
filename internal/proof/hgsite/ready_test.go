package hgsite_test

import (
	"net/http"
	"testing"
	"time"

	"hyssopgrade/internal/proof/hgsite"
	hgplatform "hyssopgrade/platform"
)

// A restarted VM is ready only after it has loaded the replicas and the ledger's markers from the store, also when one of these
// tables loads slowly, so that its first requests are served.
func TestReadyKnowsAllTables(t *testing.T) {
	for name, table := range map[string]string{"replicas": hgplatform.ReplicaTable, "VMs and markers": "hgnode"} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1)
			s.Kill(0)
			s.SetSlow(table, 400*time.Millisecond)
			if err := s.RestartNode(0); err != nil {
				t.Fatal(err)
			}
			if err := s.WaitReady(readyLimit); err != nil {
				t.Fatal(err)
			}
			if reply := call(t, s, 0, hgsite.Request{Path: hgsite.CheckPath, Method: http.MethodGet}); reply.Status != http.StatusOK {
				t.Errorf("tool: status %d: %s", reply.Status, reply.Body)
			}
			if reply := call(t, s, 0, hgsite.Turn(hgsite.ChatPath, "p", "", "x")); reply.Status != http.StatusOK {
				t.Errorf("turn: status %d: %s", reply.Status, reply.Body)
			}
		})
	}
}
