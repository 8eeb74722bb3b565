package hgledger_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgturn"
)

// Guards against texts that are lost with their memory: beyond the limit those of the programs used longest ago are dropped, read again
// when they are needed, and deleted with the program.
func TestDroppedTextsAreReadAgain(t *testing.T) {
	const programs, size = 20, 100_000
	service := hgtimer.NewService()
	t.Cleanup(service.Close)
	timer := &shiftedTimer{Timer: service}
	store := hgstore.NewMemory()
	dropped := 0
	l := hgledger.NewLedger("a", store, timer, hglog.Discard(), hgledger.WithTextLimit(5*size, func(n int) { dropped += n }))
	input := func(i int) []byte { return bytes.Repeat([]byte{byte('a' + i)}, size) }
	run := func(i int, id, previous string) (text []byte) {
		t.Helper()
		program := fmt.Sprintf("p%d", i)
		r := l.Open(t.Context(), hgledger.OpenRequest{Program: program, Attempt: id, Previous: previous, Kept: true, Budget: 1000, Most: 10, HasBudget: true})
		if r.Verdict != hgledger.Granted {
			t.Fatalf("turn %s: %s", id, r.Verdict)
		}
		err := l.Close(t.Context(), hgledger.CloseRequest{Program: program, Attempt: id, Holder: r.Holder, Used: 10, Turn: &hgturn.Turn{ID: id, Previous: previous, Input: input(i)}})
		if err != nil {
			t.Fatal(err)
		}
		timer.skip(time.Millisecond)
		return r.Text
	}
	for i := range programs {
		run(i, fmt.Sprintf("t%d", i), "")
	}
	if least := programs - 5; dropped < least {
		t.Errorf("the texts of %d programs were dropped, want %d at least", dropped, least)
	}
	for i := range programs {
		if diff := cmp.Diff(input(i), run(i, fmt.Sprintf("u%d", i), fmt.Sprintf("t%d", i))); diff != "" {
			t.Errorf("text of program %d (-want +got):\n%.200s", i, diff)
		}
	}
	timer.skip(time.Minute)
	if evicted, failed := l.EvictUnused(t.Context(), time.Second); evicted != programs || failed != 0 {
		t.Errorf("%d programs evicted, %d failed", evicted, failed)
	}
	for _, table := range []string{hgledger.ProgramTable, hgledger.TurnTable} {
		rows, err := store.Scan(t.Context(), table+"/", "", 1000)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range rows {
			t.Errorf("row %s is left", r.Key)
		}
	}
}
