package hgledger_test

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgturn"
)

// encode returns a value as a row of another writer may hold it.
func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func putRow(t *testing.T, store hgstore.Table, key string, value []byte) {
	t.Helper()
	if _, err := store.Commit(t.Context(), hgstore.Txn{Puts: []hgstore.Put{{Key: key, Value: value}}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a row of another writer among those of a program that hides the program's turns or changes their text.
func TestOddRowHidesNoTurn(t *testing.T) {
	deep := []byte(strings.Repeat("\x81", 60_000))
	tests := map[string]struct {
		key   string
		value []byte
	}{
		"empty":                       {"t/odd/000", nil},
		"no turn":                     {"t/odd/000", []byte("\x00garbage")},
		"deep":                        {"t/odd/000", append([]byte{0}, deep...)},
		"first chunk without others":  {"t/odd/000", []byte("\x01garbage")},
		"chunk before a turn's first": {"t/t0/000", []byte("\x01garbage")},
		"chunk behind a turn's last":  {"t/t1/001", []byte("\x00garbage")},
		"other flag":                  {"t/odd/000", []byte("\x07garbage")},
		"no turn's key":               {"x", []byte("\x00garbage")},
		"between account and turns":   {"b/000", []byte("\x01garbage")},
		"within a turn":               {"t/t2/001x", []byte("\x00garbage")},
		"within a turn, deeper":       {"t/t2/000/000", []byte("\x01garbage")},
		"within a turn, no chunk":     {"t/t2/001/x", []byte("\x01garbage")},
		"no number of a chunk":        {"t/odd/x", []byte("\x01garbage")},
		"another turn's text":         {"t/zzz/000", append([]byte{0}, encode(t, hgturn.Turn{ID: "t1", Input: []byte("forged")})...)},
		"map too large":               {"t/odd/000", []byte("\x00\xbb\x7f\xff\xff\xff\xff\xff\xff\xff")},
		"text too long":               {"t/odd/000", []byte("\x00\xa1\x62ID\x7b\x7f\xff\xff\xff\xff\xff\xff\xff")},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			store := hgstore.NewMemory()
			first := newLedger(t, "a/1", store)
			keep(t, first, "p", hgturn.Turn{ID: "t1", Input: []byte("in1 "), Output: []byte("out1\n")})
			keep(t, first, "p", hgturn.Turn{ID: "t2", Previous: "t1", Input: []byte(strings.Repeat("x", 100_000)), Output: []byte("\n")})
			putRow(t, store, fmt.Sprintf("hgprogram/%02d/p/%s", hgledger.Partition("p"), tt.key), tt.value)
			want := "in1 out1\n" + strings.Repeat("x", 100_000) + "\n"
			for _, program := range []string{"p", "q"} {
				reply := open(newLedger(t, "b/"+program, store), program, "x", "t2")
				if reply.Verdict != hgledger.Granted || string(reply.Text) != want {
					t.Errorf("program %s: verdict %s, %d bytes of text, want %d", program, reply.Verdict, len(reply.Text), len(want))
				}
			}
		})
	}
}

// Guards against a 404 or an endless refusal for an answered turn, if another writer's row leads from it to no program.
func TestOddRowOfTurnIsNoCertainty(t *testing.T) {
	for name, value := range map[string]string{"empty": "", "another program": "none", "no text": "\xff\x00"} {
		t.Run(name, func(t *testing.T) {
			for partition := range 16 {
				store := hgstore.NewMemory()
				keep(t, newLedger(t, "a/1", store), "p", hgturn.Turn{ID: "t1", Input: []byte("in "), Output: []byte("out\n")})
				putRow(t, store, fmt.Sprintf("hgturn/%02d/t1", partition), []byte(value))
				want := hgledger.Granted
				if partition == hgledger.Partition("p") {
					want = hgledger.Undecided // The row that led to the program is gone.
				}
				if v := open(newLedger(t, "b/1", store), "q", "x", "t1").Verdict; v != want {
					t.Errorf("partition %d: verdict %s, want %s", partition, v, want)
				}
			}
		})
	}
}

// Guards against the loss of a program's turns for other programs, if another writer has overwritten the row of its account.
func TestOddAccountHidesNoTurn(t *testing.T) {
	store := hgstore.NewMemory()
	keep(t, newLedger(t, "a/1", store), "p", hgturn.Turn{ID: "t1", Input: []byte("in "), Output: []byte("out\n")})
	putRow(t, store, fmt.Sprintf("hgprogram/%02d/p/a", hgledger.Partition("p")), []byte("\xff"))
	if reply := open(newLedger(t, "b/1", store), "q", "x", "t1"); reply.Verdict != hgledger.Granted || string(reply.Text) != "in out\n" {
		t.Errorf("verdict %s, text %q", reply.Verdict, reply.Text)
	}
	q := hgledger.OpenRequest{Program: "p", Attempt: "x", Previous: "t1", Budget: 100, Most: 10, HasBudget: true}
	if v := newLedger(t, "c/1", store).Open(t.Context(), q).Verdict; v != hgledger.Undecided {
		t.Errorf("verdict %s without a known budget, want %s", v, hgledger.Undecided)
	}
}

// Guards against a budget that grows by claims that no ledger can have made.
func TestOddClaimsGrantNoTokens(t *testing.T) {
	type row struct {
		Taken          map[string]int
		Closed, Strict bool
	}
	tests := map[string][]byte{
		"negative claim":      encode(t, row{Taken: map[string]int{"x/1": -1_000_000}}),
		"least claim":         encode(t, row{Taken: map[string]int{"x/1": math.MinInt}}),
		"sum beyond integers": encode(t, row{Taken: map[string]int{"x/1": math.MaxInt, "y/1": math.MaxInt, "z/1": 2}}),
		"own claim too large": encode(t, row{Taken: map[string]int{"b/1": math.MaxInt}}),
		"beyond integers":     encode(t, map[string]any{"Taken": map[string]float64{"x/1": 1e300}}),
		"other type":          encode(t, map[string]any{"Taken": "all"}),
		"no map":              encode(t, 7),
		"empty":               nil,
		"deep":                []byte(strings.Repeat("\x81", 60_000)),
	}
	for name, value := range tests {
		t.Run(name, func(t *testing.T) {
			store := hgstore.NewMemory()
			putRow(t, store, fmt.Sprintf("hgprogram/%02d/p/a", hgledger.Partition("p")), value)
			l := newLedger(t, "b/1", store)
			granted := 0
			for i := range 8 {
				q := hgledger.OpenRequest{Program: "p", Attempt: fmt.Sprint(i), Budget: 100, Most: 100, HasBudget: true}
				if reply := l.Open(context.Background(), q); reply.Verdict == hgledger.Granted {
					granted += reply.Most
				}
			}
			if granted > 200 {
				t.Errorf("%d tokens granted of a budget of 100 and a turn of 100", granted)
			}
		})
	}
}
