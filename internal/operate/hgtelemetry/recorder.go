package hgtelemetry

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"
)

const (
	// reportInterval is how often tally reports counters and gauges to Recorder.
	reportInterval = time.Second
	// logInterval is the shortest time between two log lines with counters and latencies.
	logInterval = 5 * time.Second
	// maxDuration is the upper limit of the histograms; longer durations are recorded as this one.
	maxDuration = time.Minute
	// significantDigits is the precision of the histograms, in decimal digits.
	significantDigits = 2
)

// Recorder holds the metrics of one process. It receives them from tally as its reporter and is safe for concurrent use.
type Recorder struct {
	log    *slog.Logger
	scope  tally.Scope
	closer io.Closer

	mu     sync.Mutex
	counts map[string]int64
	gauges map[string]float64
	// total holds the durations since the start in microseconds, and recent those since the last log line.
	total, recent map[string]*hdrhistogram.Histogram
	// lastLog is the time of the last log line.
	lastLog time.Time
}

// NewRecorder returns an empty set of metrics and starts their reporting, which lasts until Close.
func NewRecorder(log *slog.Logger) *Recorder {
	f := &Recorder{
		log: log, counts: map[string]int64{}, gauges: map[string]float64{}, lastLog: time.Now(),
		total: map[string]*hdrhistogram.Histogram{}, recent: map[string]*hdrhistogram.Histogram{},
	}
	f.scope, f.closer = tally.NewRootScope(tally.ScopeOptions{Reporter: f}, reportInterval)
	return f
}

// Count adds one to the counter of the given name.
func (f *Recorder) Count(name string) { f.scope.Counter(name).Inc(1) }

// Observe records one duration, such as the latency of a request.
func (f *Recorder) Observe(name string, d time.Duration) { f.scope.Timer(name).Record(d) }

// Set sets the gauge of the given name.
func (f *Recorder) Set(name string, v float64) { f.scope.Gauge(name).Update(v) }

// Close reports what is pending and stops the reporting.
func (f *Recorder) Close() error { return f.closer.Close() }

// ReportCounter adds the increment of a counter since the last report; called by tally.
func (f *Recorder) ReportCounter(name string, _ map[string]string, value int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[name] += value
}

// ReportGauge stores the value of a gauge; called by tally.
func (f *Recorder) ReportGauge(name string, _ map[string]string, value float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gauges[name] = value
}

// ReportTimer records a duration in both histograms of its name; called by tally.
func (f *Recorder) ReportTimer(name string, _ map[string]string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, byName := range []map[string]*hdrhistogram.Histogram{f.total, f.recent} {
		h, ok := byName[name]
		if !ok {
			h = hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)
			byName[name] = h
		}
		if err := h.RecordValue(min(d, maxDuration).Microseconds()); err != nil {
			f.log.Debug("duration not recorded in histogram", "name", name, "error", err)
		}
	}
}

// ReportHistogramValueSamples does nothing: no tally histograms are used, ReportTimer builds its own.
func (f *Recorder) ReportHistogramValueSamples(string, map[string]string, tally.Buckets, float64, float64, int64) {
}

// ReportHistogramDurationSamples does nothing: no tally histograms are used, ReportTimer builds its own.
func (f *Recorder) ReportHistogramDurationSamples(string, map[string]string, tally.Buckets, time.Duration, time.Duration, int64) {
}

// Capabilities tells tally that Recorder accepts reports without tags.
func (f *Recorder) Capabilities() tally.Capabilities { return f }

// Reporting returns true: Recorder accepts reports.
func (f *Recorder) Reporting() bool { return true }

// Tagging returns false: the tags of metrics are ignored.
func (f *Recorder) Tagging() bool { return false }

// Flush logs latencies and counters if logInterval has passed since the last log line; tally calls it after each report.
// Latencies are those since the last line, as COUNT:P50/P95/MAX in milliseconds; counters are sums since the start.
func (f *Recorder) Flush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.lastLog) < logInterval {
		return
	}
	f.lastLog = now
	var args []any
	for _, name := range slices.Sorted(maps.Keys(f.recent)) {
		h := f.recent[name]
		if h.TotalCount() == 0 {
			continue
		}
		args = append(args, name, fmt.Sprintf("%d:%.1f/%.1f/%.1f", h.TotalCount(), toMillis(h.ValueAtQuantile(50)), toMillis(h.ValueAtQuantile(95)), toMillis(h.Max())))
		h.Reset()
	}
	for _, name := range slices.Sorted(maps.Keys(f.counts)) {
		args = append(args, name, f.counts[name])
	}
	f.log.Info("metrics", args...)
}

func toMillis(micros int64) float64 { return float64(micros) / 1000 }

// Write writes all metrics since the start in the Prometheus text format, durations in seconds.
func (f *Recorder) Write(w io.Writer) (err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(f.counts)) {
		if _, err := fmt.Fprintf(w, "hyssopgrade_%s_total %d\n", name, f.counts[name]); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.gauges)) {
		if _, err := fmt.Fprintf(w, "hyssopgrade_%s %g\n", name, f.gauges[name]); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.total)) {
		h := f.total[name]
		for _, q := range []float64{50, 95, 99} {
			if _, err := fmt.Fprintf(w, "hyssopgrade_%s_seconds{quantile=\"%g\"} %g\n", name, q/100, toMillis(h.ValueAtQuantile(q))/1000); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "hyssopgrade_%s_seconds_count %d\n", name, h.TotalCount()); err != nil {
			return err
		}
	}
	return nil
}
