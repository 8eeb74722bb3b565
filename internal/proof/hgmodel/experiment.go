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

// Experiment is a set of policies that are played on the same loads with the same seeds.
type Experiment struct {
	Policies []func(*Run) Policy
	Loads    []Workload
	Seeds    int
}

// Play plays all combinations, as many at a time as there are processors, and returns the results by load and policy.
func (e Experiment) Play() (results []Result) {
	results = make([]Result, len(e.Loads)*len(e.Policies)*e.Seeds)
	group := errgroup.Group{}
	group.SetLimit(runtime.GOMAXPROCS(0))
	i := 0
	for _, load := range e.Loads {
		for _, policy := range e.Policies {
			for seed := range e.Seeds {
				at := i
				group.Go(func() error {
					results[at] = Play(load, policy, uint64(seed+1))
					return nil
				})
				i++
			}
		}
	}
	_ = group.Wait() // plays return no errors
	return results
}

// Mean is a policy's mean over the seeds of a load.
type Mean struct {
	Load, Policy string
	// Rate is the multiple of the load's rate.
	Rate float64
	// Net is the share of the worth that is left after the charge for moved memory, and Spread its standard deviation.
	Net, Worth, Spread float64
	// ByKind is the share of each kind's worth, and Unserved the share of programs that got no answer in twice their aim.
	ByKind   map[string]float64
	Unserved float64
	// Read and Moved are millions of tokens.
	Read, Moved float64
	Refused     float64
}

// Means joins the results of all seeds.
func Means(results []Result) (means []Mean) {
	type key struct {
		load, policy string
		rate         float64
	}
	keyOf := func(r Result, _ int) key { return key{r.Workload, r.Policy, r.Rate} }
	for _, k := range lo.Uniq(lo.Map(results, keyOf)) {
		means = append(means, mean(lo.Filter(results, func(r Result, _ int) bool { return keyOf(r, 0) == k })))
	}
	return means
}

func mean(results []Result) Mean {
	n := float64(len(results))
	m := Mean{Load: results[0].Workload, Rate: results[0].Rate, Policy: results[0].Policy, ByKind: map[string]float64{}}
	for _, r := range results {
		m.Net += (r.Worth - r.Charged) / n
		m.Worth += r.Worth / n
		m.Read += float64(r.Read) / 1e6 / n
		m.Moved += float64(r.Moved) / 1e6 / n
		m.Refused += float64(r.Refused) / n
		programs, failed := 0, 0
		for kind, s := range r.ByKind {
			m.ByKind[kind] += s.Worth / n
			programs += s.Programs
			failed += s.Failed
		}
		m.Unserved += float64(failed) / float64(programs) / n
	}
	m.Spread = spread(lo.Map(results, func(r Result, _ int) float64 { return r.Worth - r.Charged }))
	return m
}

// Write prints means as a table.
func Write(w io.Writer, means []Mean) (err error) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer func() { err = t.Flush() }()
	fmt.Fprintln(t, "load\trate\tpolicy\tnet\t±\tworth\tunserved\tread M\tmoved M\trefused\tby kind\t")
	for _, m := range means {
		kinds := lo.MapToSlice(m.ByKind, func(kind string, v float64) string { return fmt.Sprintf("%s %.2f", kind, v) })
		slices.Sort(kinds)
		fmt.Fprintf(t, "%s\t%.2f\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.1f\t%.0f\t%s\t\n",
			m.Load, m.Rate, m.Policy, m.Net, m.Spread, m.Worth, m.Unserved, m.Read, m.Moved, m.Refused, strings.Join(kinds, ", "))
	}
	return nil
}
