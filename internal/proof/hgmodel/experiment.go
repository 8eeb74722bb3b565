package hgmodel

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"
)

// Experiment compares policies on the same workloads with the same seeds.
type Experiment struct {
	Policies  []func(*Run) Policy
	Workloads []Workload
	// Seeds is the number of seeds, from 1 on.
	Seeds int
}

// Run simulates all combinations, as many in parallel as there are processors, and returns the results ordered by
// workload, policy and seed.
func (e Experiment) Run() (results []Result) {
	results = make([]Result, len(e.Workloads)*len(e.Policies)*e.Seeds)
	group := errgroup.Group{}
	group.SetLimit(runtime.GOMAXPROCS(0))
	i := 0
	for _, load := range e.Workloads {
		for _, policy := range e.Policies {
			for seed := range e.Seeds {
				at := i
				group.Go(func() error {
					results[at] = Simulate(load, policy, uint64(seed+1))
					return nil
				})
				i++
			}
		}
	}
	_ = group.Wait() // the functions return no errors
	return results
}

// Mean is the mean result of a policy over all seeds of a workload.
type Mean struct {
	Workload, Policy string
	// Rate is the multiple of the workload's arrival rate.
	Rate float64
	// Worth is the share of the programs' total worth that was earned, Net the same minus the charge for fetched cache
	// tokens, and StdDev the standard deviation of Net.
	Net, Worth, StdDev float64
	// ByKind is the earned share of the worth of each kind, and Unserved the share of programs that were not done within
	// twice their latency objective.
	ByKind   map[string]float64
	Unserved float64
	// Prefilled and Fetched are prompt tokens in millions.
	Prefilled, Fetched float64
	// Refused is the number of turns that the policy refused.
	Refused float64
}

// Means averages the results of each workload, rate and policy over the seeds.
func Means(results []Result) (means []Mean) {
	type key struct {
		workload, policy string
		rate             float64
	}
	keyOf := func(r Result, _ int) key { return key{r.Workload, r.Policy, r.Rate} }
	for _, k := range lo.Uniq(lo.Map(results, keyOf)) {
		means = append(means, mean(lo.Filter(results, func(r Result, _ int) bool { return keyOf(r, 0) == k })))
	}
	return means
}

func mean(results []Result) Mean {
	n := float64(len(results))
	m := Mean{Workload: results[0].Workload, Rate: results[0].Rate, Policy: results[0].Policy, ByKind: map[string]float64{}}
	for _, r := range results {
		m.Net += (r.Worth - r.Charged) / n
		m.Worth += r.Worth / n
		m.Prefilled += float64(r.Prefilled) / 1e6 / n
		m.Fetched += float64(r.Fetched) / 1e6 / n
		m.Refused += float64(r.Refused) / n
		programs, failed := 0, 0
		for kind, s := range r.ByKind {
			m.ByKind[kind] += s.Worth / n
			programs += s.Programs
			failed += s.Failed
		}
		m.Unserved += float64(failed) / float64(programs) / n
	}
	m.StdDev = stdDev(lo.Map(results, func(r Result, _ int) float64 { return r.Worth - r.Charged }))
	return m
}

// Write prints means as a table with one row per workload, rate and policy.
func Write(w io.Writer, means []Mean) (err error) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer func() { err = t.Flush() }()
	fmt.Fprintln(t, "load\trate\tpolicy\tnet\t±\tworth\tunserved\tread M\tmoved M\trefused\tby kind\t")
	for _, m := range means {
		kinds := lo.MapToSlice(m.ByKind, func(kind string, v float64) string { return fmt.Sprintf("%s %.2f", kind, v) })
		slices.Sort(kinds)
		fmt.Fprintf(t, "%s\t%.2f\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%.0f\t%s\t\n",
			m.Workload, m.Rate, m.Policy, m.Net, m.StdDev, m.Worth, m.Unserved, m.Prefilled, m.Fetched, m.Refused, strings.Join(kinds, ", "))
	}
	return nil
}
