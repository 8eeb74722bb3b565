package hgbench

import (
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Result holds the counts and latencies of one run, or the sums over several runs.
type Result struct {
	// Offered is the number of programs that arrived, Done of those that ended, and Good of those that ended within
	// goodLatency.
	Offered int
	Done    int
	Good    int
	// Calls is the number of calls with an answer, Dispatches that of dispatches to engines, Refusals that of refusals by
	// the scheduler, and Retries that of repeated dispatches after an engine failed.
	Calls      int
	Dispatches int
	Refusals   int
	Retries    int
	// Written is the number of tokens written to prefix caches, and Unused of those never reused.
	Written int
	Unused  int
	// Moves is the number of calls that ran on another engine than their program's previous call.
	Moves int
	// Evictions is the number of idle prefixes that engines evicted for lack of memory.
	Evictions int
	// latencies is by program; firstTokens, the times to the first token, and gaps, the mean times between tokens, are by
	// call.
	latencies   []time.Duration
	firstTokens []time.Duration
	gaps        []time.Duration
}

func newResult() Result { return Result{} }

// addCall records a call's time to the first token, waits and refusals included, and its mean time between tokens.
func (r *Result) addCall(first, gap time.Duration) {
	r.firstTokens = append(r.firstTokens, first)
	r.gaps = append(r.gaps, gap)
}

// addProgram records a program's latency, or that its caller gave up.
func (r *Result) addProgram(d time.Duration, ok bool) {
	r.Offered++
	if !ok {
		return
	}
	r.Done++
	if d <= goodLatency {
		r.Good++
	}
	r.latencies = append(r.latencies, d)
}

// Plus returns the sum of two results.
func (r Result) Plus(o Result) Result {
	r.Offered += o.Offered
	r.Done += o.Done
	r.Good += o.Good
	r.Calls += o.Calls
	r.Dispatches += o.Dispatches
	r.Refusals += o.Refusals
	r.Retries += o.Retries
	r.Written += o.Written
	r.Unused += o.Unused
	r.Moves += o.Moves
	r.Evictions += o.Evictions
	r.latencies = slices.Concat(r.latencies, o.latencies)
	r.firstTokens = slices.Concat(r.firstTokens, o.firstTokens)
	r.gaps = slices.Concat(r.gaps, o.gaps)
	return r
}

// Mean returns the mean latency of the programs that ended.
func (r Result) Mean() time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	return lo.Sum(r.latencies) / time.Duration(len(r.latencies))
}

// Quantile returns the quantile q, from 0 to 1, of the latencies of the programs that ended.
func (r Result) Quantile(q float64) time.Duration { return quantile(r.latencies, q) }

// FirstToken returns the quantile q of the calls' times to the first token.
func (r Result) FirstToken(q float64) time.Duration { return quantile(r.firstTokens, q) }

// Gap returns the quantile q of the calls' mean times between tokens.
func (r Result) Gap(q float64) time.Duration { return quantile(r.gaps, q) }

func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	l := slices.Clone(times)
	slices.Sort(l)
	return l[min(int(q*float64(len(l))), len(l)-1)]
}

// Wasted returns the share, from 0 to 1, of the written prefix tokens that were never reused.
func (r Result) Wasted() float64 { return float64(r.Unused) / float64(max(r.Written, 1)) }

// Header is the header of the Markdown table whose rows Row returns.
const Header = `| workload | policy | mean s | p50 | p95 | p99 | first token p95 s | between tokens p95 ms | wasted | good in 60 s | undone | refusals | moves | evictions | retries | dispatches/calls |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|`

// Row returns the result as a row of a Markdown table.
func (r Result) Row(workload, policy string) string {
	return fmt.Sprintf("| %s | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %.1f | %.1f %% | %.1f %% | %d | %d | %d | %d | %d | %.3f |",
		workload, policy, r.Mean().Seconds(), r.Quantile(0.5).Seconds(), r.Quantile(0.95).Seconds(), r.Quantile(0.99).Seconds(),
		r.FirstToken(0.95).Seconds(), 1e3*r.Gap(0.95).Seconds(),
		100*r.Wasted(), 100*float64(r.Good)/float64(max(r.Offered, 1)), r.Offered-r.Done, r.Refusals, r.Moves, r.Evictions, r.Retries,
		float64(r.Dispatches)/float64(max(r.Calls, 1)))
}
