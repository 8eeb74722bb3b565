package hgbench

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// seeds returns the number of seeds from HGBENCH_SEEDS, by default 1.
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

// matches reports whether a name contains the value of an environment variable.
func matches(variable, name string) bool { return strings.Contains(name, os.Getenv(variable)) }

// measure runs a policy with all seeds in virtual time and returns the sum of the results.
func measure(t *testing.T, c Case, p Policy) (sum Result) {
	for seed := range seeds(t) {
		synctest.Test(t, func(*testing.T) { sum = sum.Plus(Run(c, p, seed+1)) })
	}
	return sum
}

// shortArrivals is the time in which programs arrive if HGBENCH_SEEDS is not set.
const shortArrivals = 15 * time.Second

// TestMeasurements prints the table of docs/MEASUREMENTS.md. It runs HGBENCH_SEEDS seeds, by default one seed of short
// workloads. HGBENCH_CASE and HGBENCH_POLICY select rows by a substring of their names. It guards against retry storms:
// retries must stay within the preset's share of the calls, also while engines are down.
func TestMeasurements(t *testing.T) {
	t.Log("\n" + Header)
	for _, c := range Cases() {
		if os.Getenv("HGBENCH_SEEDS") == "" {
			c.Arrivals = shortArrivals
		}
		for _, p := range Policies {
			if !matches("HGBENCH_CASE", c.Shape.Name+" "+c.Name) || !matches("HGBENCH_POLICY", p.Name) {
				continue
			}
			r := measure(t, c, p)
			t.Log("\n" + r.Row(c.Shape.Name+" "+c.Name, p.Name))
			if r.Done == 0 {
				t.Errorf("%s under %s: no program was done", p.Name, c.Name)
			}
			if maxRetries := r.Calls*preset(p).RetryPercent/100 + maxRetryBurst*int(seeds(t)); r.Retries > maxRetries {
				t.Errorf("%s under %s: %d retries of %d calls", p.Name, c.Name, r.Retries, r.Calls)
			}
		}
	}
}

// maxRetryBurst is the number of retries that the budgets of all nodes allow before their first calls.
const maxRetryBurst = 3 * nodes
