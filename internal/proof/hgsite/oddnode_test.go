package hgsite_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"hyssopgrade/hgcodec"
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/proof/hgsite"
)

// oddNodes are rows of other writers in the table of the VMs, by key.
func oddNodes() map[string]string {
	deep := strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000)
	rows := map[string]string{
		"empty": "", "null": "null", "no-object": "[]", "no-text": "\xff\xfe", "no-name": "{}", "deep": deep, "unknown-field": `{"Name":"unknown-field","More":` + deep + `}`,
		"large-number": `{"Name":"large-number","Started":1e400}`, "": `{"Name":""}`, "another": `{"Name":"vm-0","Boot":"x","Started":9000000000000000000,"Peer":"127.0.0.1:1","Public":"127.0.0.1:1","Ready":true}`,
		"port":     `{"Name":"port","Boot":"x","Started":1,"Peer":"127.0.0.1:99999","Public":"127.0.0.1:0","Ready":true}`,
		"suspect-": "", "suspect-x": `{"digest":-1}`, "suspect-deep": deep, "suspect-far": `{"digest":1,"breaks":[{"id":1,"at":9223372036854775807},{"id":2,"at":-9223372036854775808}],"proof":{"seq":18446744073709551615}}`,
		"suspect-many": `{"digest":2,"breaks":[` + strings.TrimSuffix(strings.Repeat(`{"id":3,"at":1},`, 2000), ",") + `]}`,
		"bypass-":      "", "bypass-99": "x", "bypass--1": "x", "bypass-1e400": deep, "bypass-99999999999999999999": "x",
	}
	for i := range 8 {
		rows[fmt.Sprint("ghost-", i)] = fmt.Sprintf(`{"Name":"ghost-%d"}`, i)
	}
	return rows
}

// Guards against rows of other writers in the table of the VMs that end a VM, or that count as VMs without which there is no majority.
func TestOddRowsAmongVMsCountForNothing(t *testing.T) {
	s := newSettledSite(t, 3)
	var txn hgstore.Txn
	for key, value := range oddNodes() {
		txn.Puts = append(txn.Puts, hgstore.Put{Key: "hgnode//" + key, Value: []byte(value)})
	}
	for _, key := range []string{"op//odd", "op//", "hgprogram/00/odd/a", "hgturn/00/odd"} {
		txn.Puts = append(txn.Puts, hgstore.Put{Key: key, Value: []byte("\xff")})
	}
	if _, err := s.Store.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
	time.Sleep(applyLimit)
	// Peers that a VM has only just learned of may take part in programs for a while.
	time.Sleep(4 * time.Second)
	serve := func(when string) {
		t.Helper()
		for vm := range s.Nodes {
			for i := range 4 {
				if reply := callWithin(t, s, hgsite.Turn(hgsite.ChatPath, fmt.Sprint(when, vm, i), "", "x"), answerLimit); reply.Status != http.StatusOK {
					t.Errorf("%s: status %d: %s", when, reply.Status, reply.Body)
				}
			}
		}
	}
	serve("with the store")
	outage(s, true)
	time.Sleep(time.Second)
	serve("without the store")
	outage(s, false)
	time.Sleep(time.Second)
	s.Kill(1)
	restart(t, s, 1)
	serve("after a restart")
}

// Guards against a VM that does not count for good, as another writer has overwritten its row.
func TestOverwrittenRowOfVMIsWrittenAgain(t *testing.T) {
	s := newSettledSite(t, 3)
	const key = "hgnode//vm-1"
	if _, err := s.Store.Commit(t.Context(), hgstore.Txn{Puts: []hgstore.Put{{Key: key, Value: []byte("\xff")}}}); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(8 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		row, err := s.Store.Get(t.Context(), key)
		if err != nil {
			t.Fatal(err)
		}
		if info, err := (hgcodec.JSON[hgpeer.Info]{}).Decode(row.Value); err == nil && info.Name == "vm-1" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("row %q after 8 s", row.Value)
		}
	}
}
