package hgreplica_test

import (
	"testing"
	"time"

	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgreplica"
)

// Guards against one replica whose report of its load is wrong and makes all replicas of the service look full to new programs.
func TestOddLoadReportFillsNoService(t *testing.T) {
	const busy = 1.1
	for name, tt := range map[string]struct {
		odd  int
		full bool
	}{"one of five": {1, false}, "all": {5, true}} {
		t.Run(name, func(t *testing.T) {
			s, _ := newSet(entry("a", "north"), entry("b", "north"), entry("c", "north"), entry("d", "north"), entry("e", "north"))
			for range 5 {
				l, ok := s.Pick(hgreplica.Want{Service: "s"})
				if !ok {
					t.Fatal("no replica")
				}
				if tt.odd > 0 {
					l.RecordAnswer(hgattempt.Answer{HasLoad: true, Running: 1 << 20, Waiting: 1 << 20, Slots: 4}, time.Millisecond)
				}
				tt.odd--
				defer l.Release()
			}
			if load := s.Load("s"); (load >= busy) != tt.full {
				t.Errorf("load %v, want %v or more: %v", load, busy, tt.full)
			}
		})
	}
}
