package hgreplay

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"hyssopgrade/hgcall"
	"hyssopgrade/internal/proof/hgstandin"
)

// Report is the outcome of a replay.
type Report struct {
	// Done is the number of programs whose calls all had an answer, and Undone that of the others.
	Done   int `json:"programsDone"`
	Undone int `json:"programsUndone"`
	// Calls is the number of requests, and Sent the number of times that they were sent, retries included.
	Calls int `json:"calls"`
	Sent  int `json:"asked"`
	// Refusals counts refusals by "kind/reason".
	Refusals map[string]int `json:"refusals"`
	// Violations describes each broken guarantee.
	Violations []string `json:"violations"`
	// Written is the number of prompt tokens written to prefix caches, and Unused the number of those never reused.
	Written uint64 `json:"cacheTokensWritten"`
	Unused  uint64 `json:"cacheTokensUnused"`

	latency *hdrhistogram.Histogram
	// The maps are by request identifier. unknown holds the requests that were refused with ReasonOutcomeLost.
	calls    map[string]hgcall.Call
	notRun   map[string]bool
	answered map[string]bool
	unknown  map[string]bool
}

// maxLatency is the largest latency that the histogram records.
const maxLatency = 24 * time.Hour

func newReport() Report {
	return Report{
		Refusals: map[string]int{}, Violations: []string{}, latency: hdrhistogram.New(1, maxLatency.Milliseconds(), 3),
		calls: map[string]hgcall.Call{}, notRun: map[string]bool{}, answered: map[string]bool{}, unknown: map[string]bool{},
	}
}

func (r *Report) observe(d time.Duration) { _ = r.latency.RecordValue(max(d.Milliseconds(), 1)) }

// Latency summarizes the times of root programs from the first call to the last answer, in milliseconds.
type Latency struct {
	MeanMs float64 `json:"meanMs"`
	P50Ms  int64   `json:"p50Ms"`
	P95Ms  int64   `json:"p95Ms"`
	P99Ms  int64   `json:"p99Ms"`
}

// Latency returns the latencies of the root programs in which every call had an answer.
func (r *Report) Latency() Latency {
	return Latency{
		MeanMs: r.latency.Mean(), P50Ms: r.latency.ValueAtQuantile(50), P95Ms: r.latency.ValueAtQuantile(95), P99Ms: r.latency.ValueAtQuantile(99),
	}
}

// AddWaste adds the cache tokens of one endpoint.
func (r *Report) AddWaste(w hgstandin.Waste) {
	r.Written += w.Written
	r.Unused += w.Unused
}

// WastedShare returns the share, from 0 to 1, of the written cache tokens that were never reused.
func (r *Report) WastedShare() float64 {
	return float64(r.Unused) / float64(max(r.Written, 1))
}

// Print writes the report as a table, with the violations below it.
func (r *Report) Print(w io.Writer) {
	l := r.Latency()
	fmt.Fprintf(w, "%-28s %d of %d\n", "programs done", r.Done, r.Done+r.Undone)
	fmt.Fprintf(w, "%-28s %.0f / %d / %d / %d\n", "latency ms mean/p50/p95/p99", l.MeanMs, l.P50Ms, l.P95Ms, l.P99Ms)
	fmt.Fprintf(w, "%-28s %d, sent %d times\n", "calls", r.Calls, r.Sent)
	fmt.Fprintf(w, "%-28s %.1f %% of %d tokens\n", "wasted cache", 100*r.WastedShare(), r.Written)
	kinds := lo.Keys(r.Refusals)
	sort.Strings(kinds)
	for _, k := range kinds {
		fmt.Fprintf(w, "%-28s %d\n", "refused "+k, r.Refusals[k])
	}
	fmt.Fprintf(w, "%-28s %d\n", "violations", len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %s\n", v)
	}
}
