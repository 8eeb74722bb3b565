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
	"hyssopgrade/internal/serve/hgserver"
)

// reportInterval is how often tally reports metrics to the Prometheus registry.
const reportInterval = time.Second

// Metrics holds the metrics of one node; it is safe for concurrent use.
type Metrics struct {
	scope   tally.Scope
	closer  io.Closer
	handler http.Handler
}

// New returns empty metrics that carry the name of the node as a label.
func New(node string) (m *Metrics, err error) {
	defer func() { err = trace.Wrap(err, "metrics") }()
	reg := prom.NewRegistry()
	var registerErr error
	rep := prometheus.NewReporter(prometheus.Options{
		Registerer: reg, Gatherer: reg,
		OnRegisterError: func(err error) { registerErr = err },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "hyssopgrade", Tags: map[string]string{"node": node}, CachedReporter: rep, Separator: prometheus.DefaultSeparator,
	}, reportInterval)
	m = &Metrics{scope: scope, closer: closer, handler: rep.HTTPHandler()}
	// Served as 0 from the start, so that an increase shows also when it is the first one.
	for _, reason := range boundReasons {
		m.boundCloses(reason)
	}
	return m, registerErr
}

// buckets are the upper bounds of the duration histograms: 18 steps from 1 ms, each twice the one before.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

// CallDone counts a finished call by kind, state and reason, and records its total duration and that of its phases.
func (m *Metrics) CallDone(c hgcall.Call, r hgcall.Result, t hgowner.Times) {
	s := m.scope.Tagged(map[string]string{"kind": string(c.Kind), "state": string(r.State), "reason": string(r.Reason)})
	s.Counter("calls").Inc(1)
	k := m.scope.Tagged(map[string]string{"kind": string(c.Kind)})
	k.Histogram("queue_seconds", buckets).RecordDuration(t.Queue)
	k.Histogram("commit_seconds", buckets).RecordDuration(t.Commit)
	k.Histogram("endpoint_seconds", buckets).RecordDuration(t.Endpoint)
	k.Histogram("call_seconds", buckets).RecordDuration(t.Total)
}

// Retried counts one retry of a call.
func (m *Metrics) Retried() { m.scope.Counter("retries").Inc(1) }

// ConnClosed counts a connection that was closed at a bound, by reason.
func (m *Metrics) ConnClosed(reason string) {
	m.boundCloses(reason).Inc(1)
}

// boundReasons are the reasons for which a node's server closes connections.
var boundReasons = []string{hgserver.RefusedConns, hgserver.RefusedHeads}

func (m *Metrics) boundCloses(reason string) tally.Counter {
	return m.scope.Tagged(map[string]string{"reason": reason}).Counter("bound_closes")
}

// Refused counts a refused call by the kind and the reason of the refusal.
func (m *Metrics) Refused(r *hgcall.Refusal) {
	m.scope.Tagged(map[string]string{"refusal": string(r.Kind), "reason": string(r.Reason)}).Counter("refusals").Inc(1)
}

// Set sets the gauge of the given name.
func (m *Metrics) Set(name string, v float64) { m.scope.Gauge(name).Update(v) }

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports what is pending and stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
