package hgbench

import (
	"os"
	"strconv"
	"testing"
	"testing/synctest"
)

// seeds returns the number of seeds: HGBENCH_SEEDS, or one.
func seeds(t *testing.T) uint64 {
	s := os.Getenv("HGBENCH_SEEDS")
	if s == "" {
		return 1
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// measure returns the results of a policy over all seeds, in virtual time.
func measure(t *testing.T, c Case, p Policy) (sum Result) {
	for seed := range seeds(t) {
		synctest.Test(t, func(*testing.T) { sum = sum.Plus(Run(c, p, seed+1)) })
	}
	return sum
}

// TestMeasurements prints the table of docs/MEASUREMENTS.md. With HGBENCH_SEEDS it runs as many seeds; without, one.
func TestMeasurements(t *testing.T) {
	t.Log("\n" + Header)
	for _, c := range Cases() {
		for _, p := range Policies {
			r := measure(t, c, p)
			t.Log("\n" + r.Row(c.Shape.Name+" "+c.Name, p.Name))
			if r.Done == 0 {
				t.Errorf("%s under %s: no program was done", p.Name, c.Name)
			}
		}
	}
}
