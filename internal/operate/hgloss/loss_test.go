package hgloss_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/samber/lo"

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

// secondsLogs are of five programs on one route: in time; late because its turn waited to be opened; refused; refused by a
// tool; and stopped by its budget.
const secondsLogs = `vm-1 {"time":"2026-01-05T20:31:46.100Z","msg":"request","program":"a","session":"a","route":"chat","status":200,"ms":100,"aimLeftMs":900,"prompt":100,"headMs":50}
vm-1 {"time":"2026-01-05T20:31:46.900Z","msg":"request","program":"b","session":"b","route":"chat","status":200,"ms":800,"aimLeftMs":500,"prompt":100,"openMs":700,"headMs":50}
vm-1 {"time":"2026-01-05T20:31:47.900Z","msg":"request","program":"c","session":"c","route":"chat","status":503,"reason":"store is out of reach","ms":1,"aimLeftMs":500,"prompt":100}
vm-1 {"time":"2026-01-05T20:31:47.910Z","msg":"request","program":"d","session":"d","route":"check","status":500,"ms":5,"aimLeftMs":500}
vm-1 {"time":"2026-01-05T20:31:47.920Z","msg":"request","program":"e","session":"e","route":"chat","status":402,"reason":"budget is spent","ms":5,"aimLeftMs":500,"prompt":100}
`

func TestSeconds(t *testing.T) {
	lines, err := hgexplain.Read(strings.NewReader(secondsLogs))
	if err != nil {
		t.Fatal(err)
	}
	want := []hgloss.Second{
		{
			Outcomes: map[hgloss.Outcome]int{hgloss.InTime: 1, hgloss.Late: 1}, Causes: map[hgloss.Cause]int{hgloss.LateOpening: 1},
		},
		{
			Start: time.Second, Outcomes: map[hgloss.Outcome]int{hgloss.Failed: 2, hgloss.BudgetSpent: 1},
			Causes: map[hgloss.Cause]int{hgloss.RefusedOutage: 1, hgloss.FailedTool: 1},
		},
	}
	got := hgloss.Seconds(hgloss.Programs(lines))
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("seconds (-want +got):\n%s", diff)
	}
	var b strings.Builder
	if err := hgloss.WriteSeconds(&b, got); err != nil || !strings.Contains(b.String(), "open 1") {
		t.Errorf("table %v:\n%s", err, b.String())
	}
}

func TestPrograms(t *testing.T) {
	lines, err := hgexplain.Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	ms := time.Millisecond
	at := func(text string) time.Time {
		return time.Date(2026, 1, 5, 20, 31, 0, 0, time.UTC).Add(lo.Must(time.ParseDuration(text)))
	}
	want := []hgloss.Program{
		{ID: "p", Route: "chat", Outcome: hgloss.Late, Cause: hgloss.LateDecode, Began: at("46.099s"), Overrun: 200 * ms, Turns: 2, Refusals: 1, Times: hgloss.Times{
			Backoff: 100 * ms, StateOpen: 5 * ms, StateSave: 8 * ms, Prefill: 47 * ms, Decode: 640 * ms, Tools: 50 * ms,
		}},
		{ID: "q", Route: "chat", Outcome: hgloss.BudgetSpent, Began: at("46.996s"), Overrun: -196 * ms, Turns: 1, Times: hgloss.Times{Decode: 4 * ms}},
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
