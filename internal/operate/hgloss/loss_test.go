package hgloss_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/operate/hgexplain"
	"hyssopgrade/internal/operate/hgloss"
)

const logs = `vm-1 {"time":"2026-01-05T20:31:46.100Z","msg":"request","program":"p","session":"s","route":"chat","status":503,"ms":1,"aimLeftMs":900,"prompt":1000}
vm-2 {"time":"2026-01-05T20:31:46.500Z","msg":"request","program":"p","session":"s","route":"chat","status":200,"ms":300,"aimLeftMs":700,"prompt":1000,"miss":1000,"openMs":5,"headMs":47,"keepMs":8}
vm-1 {"time":"2026-01-05T20:31:46.600Z","msg":"request","program":"p","session":"s","route":"check","status":200,"ms":50,"aimLeftMs":350}
vm-1 {"time":"2026-01-05T20:31:47.100Z","msg":"request","program":"p","session":"s","route":"chat","status":200,"ms":400,"aimLeftMs":200,"prompt":1000}
vm-1 {"time":"2026-01-05T20:31:47.000Z","msg":"request","program":"q","session":"t","route":"chat","status":402,"ms":4,"aimLeftMs":200,"prompt":10}
vm-1 {"time":"2026-01-05T20:31:47.000Z","msg":"request","program":"","status":200,"ms":4}
`

func TestPrograms(t *testing.T) {
	lines, err := hgexplain.Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	ms := time.Millisecond
	want := []hgloss.Program{
		{ID: "p", Route: "chat", Outcome: hgloss.Late, Overrun: 200 * ms, Turns: 2, Refusals: 1, Times: hgloss.Times{
			Backoff: 100 * ms, StateOpen: 5 * ms, StateSave: 8 * ms, Prefill: 17 * ms, Queue: 30 * ms, Decode: 640 * ms, Tools: 50 * ms,
		}},
		{ID: "q", Route: "chat", Outcome: hgloss.BudgetSpent, Overrun: -196 * ms, Turns: 1, Times: hgloss.Times{Decode: 4 * ms}},
	}
	got := hgloss.Programs(lines)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("programs (-want +got):\n%s", diff)
	}
	var b strings.Builder
	if err := hgloss.Write(&b, hgloss.Groups(got)); err != nil || strings.Count(b.String(), "\n") != 3 {
		t.Errorf("table %v:\n%s", err, b.String())
	}
}
