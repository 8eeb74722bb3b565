package hgmetric

import (
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"hyssopgrade/hgcall"
	"hyssopgrade/internal/serve/hgowner"
)

// reportEvery is the period in which figures are handed to the reporter.
const reportEvery = time.Second

// Metrics are the figures of one node; they are safe for concurrent use.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns empty figures.
func New(node string) (m *Metrics, err error) {
	defer func() { err = trace.Wrap(err, "metrics") }()
	reg := prom.NewRegistry()
	var failed error
	rep := prometheus.NewReporter(prometheus.Options{
		Registerer: reg, Gatherer: reg,
		OnRegisterError: func(err error) { failed = err },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hyssopgrade", Tags: map[string]string{"node": node}, CachedReporter: rep, Separator: prometheus.DefaultSeparator,
	}, reportEvery)
	return &Metrics{scope: scope, closer: closer, handler: rep.HTTPHandler()}, failed
}

// buckets are the bounds of the time histograms.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

// CallDone counts a call by kind, state and reason, and the parts of its time.
func (m *Metrics) CallDone(c hgcall.Call, r hgcall.Result, t hgowner.Times) {
	s := m.scope.Tagged(map[string]string{"kind": string(c.Kind), "state": string(r.State), "reason": string(r.Reason)})
	s.Counter("calls").Inc(1)
	k := m.scope.Tagged(map[string]string{"kind": string(c.Kind)})
	k.Histogram("queue_seconds", buckets).RecordDuration(t.Queue)
	k.Histogram("commit_seconds", buckets).RecordDuration(t.Commit)
	k.Histogram("endpoint_seconds", buckets).RecordDuration(t.Endpoint)
	k.Histogram("call_seconds", buckets).RecordDuration(t.Total)
}

// Retried counts one retry.
func (m *Metrics) Retried() { m.scope.Counter("retries").Inc(1) }

// Refused counts a refusal by kind and reason.
func (m *Metrics) Refused(r *hgcall.Refusal) {
	m.scope.Tagged(map[string]string{"refusal": string(r.Kind), "reason": string(r.Reason)}).Counter("refusals").Inc(1)
}

// Set sets a gauge.
func (m *Metrics) Set(name string, v float64) { m.scope.Gauge(name).Update(v) }

// Handler serves the figures.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops the reports.
func (m *Metrics) Close() error { return m.closer.Close() }
