package hgadmit

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/hgpreset"
)

func queue(change func(p *hgpreset.Preset)) *Queue {
	p := hgpreset.Shipped()["ordinary"]
	change(&p)
	return NewQueue(p)
}

func ids(ws []Waiting) []uint64 {
	var list []uint64
	for _, w := range ws {
		list = append(list, w.ID)
	}
	return list
}

func TestOrder(t *testing.T) {
	waiting := []Waiting{
		{ID: 1, Served: 5000, Since: 0},
		{ID: 2, Served: 100, Since: time.Second},
		{ID: 3, New: true, Since: 2 * time.Second},
		{ID: 4, Served: 5000, Since: 30 * time.Second},
	}
	tests := map[string]struct {
		policy  string
		withNew bool
		want    []uint64
	}{
		"least service first, new ones among them": {"leastService", true, []uint64{2, 3, 1, 4}},
		"without memory for new ones":              {"leastService", false, []uint64{2, 1, 4}},
		"by arrival":                               {"arrival", true, []uint64{1, 2, 3, 4}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			q := queue(func(p *hgpreset.Preset) { p.QueuePolicy = tc.policy })
			for _, w := range waiting {
				q.Push(w, time.Hour, w.Since)
			}
			if diff := cmp.Diff(tc.want, ids(q.First(nil, tc.withNew))); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAgeingEndsStarvation guards against starvation of a program that has been served many tokens while calls of programs
// with few tokens keep arriving.
func TestAgeingEndsStarvation(t *testing.T) {
	q := queue(func(p *hgpreset.Preset) { p.AgeingTokensPerSecond = 200 })
	q.Push(Waiting{ID: 1, Served: 10_000}, time.Hour, 0)
	q.Push(Waiting{ID: 2, Served: 100, Since: 51 * time.Second}, time.Hour, 51*time.Second)
	if first := q.First(nil, true)[0].ID; first != 1 {
		t.Errorf("call %d is first after 51 s", first)
	}
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		change func(p *hgpreset.Preset)
		w      Waiting
		left   time.Duration
		want   Verdict
	}{
		"new program while closed":     {func(p *hgpreset.Preset) { p.AdmitNew = false }, Waiting{ID: 9, New: true}, time.Hour, Verdict{Refused: true, Closed: true}},
		"under way while closed":       {func(p *hgpreset.Preset) { p.AdmitNew = false }, Waiting{ID: 9}, time.Hour, Verdict{}},
		"new program, old one waits":   {func(p *hgpreset.Preset) { p.MaxNewWaitMs = 5000 }, Waiting{ID: 9, New: true}, time.Hour, Verdict{Refused: true, Expected: 10 * time.Second}},
		"wait would pass the deadline": {func(*hgpreset.Preset) {}, Waiting{ID: 9, New: true}, 3 * time.Second, Verdict{Refused: true, Expected: 10 * time.Second}},
		"queue is full":                {func(p *hgpreset.Preset) { p.MaxQueue = 1 }, Waiting{ID: 9}, time.Hour, Verdict{Refused: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			q := queue(func(*hgpreset.Preset) {})
			q.Push(Waiting{ID: 1, New: true}, time.Hour, 0)
			p := q.preset
			tc.change(&p)
			q.SetPreset(p)
			if diff := cmp.Diff(tc.want, q.Push(tc.w, tc.left, 10*time.Second)); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
		})
	}
}

// TestClosedTime checks the wait reported to new programs while the preset admits none: it is the time since the first
// refusal, and starts anew after a preset that admits them.
func TestClosedTime(t *testing.T) {
	q := queue(func(*hgpreset.Preset) {})
	open, closed := q.preset, q.preset
	closed.AdmitNew = false
	push := func(id uint64, at time.Duration) Verdict {
		return q.Push(Waiting{ID: id, New: true}, time.Hour, at)
	}
	q.SetPreset(closed)
	got := []Verdict{push(1, 10*time.Second), push(2, 14*time.Second)}
	q.SetPreset(closed)
	got = append(got, push(3, 18*time.Second))
	q.SetPreset(open)
	got = append(got, push(4, 19*time.Second))
	q.SetPreset(closed)
	got = append(got, push(5, 30*time.Second))
	refused := func(after time.Duration) Verdict { return Verdict{Refused: true, Closed: true, Expected: after} }
	want := []Verdict{refused(0), refused(4 * time.Second), refused(8 * time.Second), {}, refused(0)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			q := queue(func(p *hgpreset.Preset) { p.MaxQueue = 1_000_000 })
			for i := range n {
				q.Push(Waiting{ID: uint64(i), Served: uint64(i * 37 % 9973), Since: time.Duration(i)}, time.Hour, 0)
			}
			var buf []Waiting
			id := uint64(n)
			b.ReportAllocs()
			for b.Loop() {
				id++
				q.Push(Waiting{ID: id, Served: id * 37 % 9973, Since: time.Duration(id)}, time.Hour, time.Duration(id))
				buf = q.First(buf, true)
				q.Grant(buf[0].ID, time.Duration(id))
			}
		})
	}
}
