package hgentryvm

import (
	"log/slog"
	"reflect"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/operate/hgstatus"
	"hyssopgrade/internal/operate/hgtelemetry"
	"hyssopgrade/internal/serve/hgdesired"
	"hyssopgrade/internal/serve/hgentry"
	"hyssopgrade/internal/state/hgfeed"
	"hyssopgrade/internal/state/hgfresh"
	hgplatform "hyssopgrade/platform"
)

// freshPeriod is the time between two looks at the evidence for the log and the metrics. Requests look for themselves.
const freshPeriod = 100 * time.Millisecond

// bootClock returns the time since the machine started, including the time for which it was suspended.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Without the clock evidence cannot be dated, and a frozen VM would go on with removed keys.
		panic(trace.Wrap(err, "read the clock of the evidence for keys"))
	}
	return time.Duration(t.Nano())
}

// freshness collects the evidence that this node's desired state is the newest. A nil freshness collects none.
type freshness struct {
	evidence *hgfresh.Evidence
	metrics  *hgtelemetry.Recorder
	log      *slog.Logger

	// mu makes rows take effect one after the other.
	mu sync.Mutex
	// version is the version of the row in force; 0 if there is none.
	version uint64
	// wasFresh is what the last look found; only observe uses it.
	wasFresh bool
}

func newFreshness(revoke time.Duration, clock func() time.Duration, m *hgtelemetry.Recorder, log *slog.Logger) *freshness {
	return &freshness{evidence: hgfresh.NewEvidence(clock, revoke), metrics: m, log: log}
}

// apply puts the desired state of a version of the row in force, unless the present one has the same or a higher number, and reports
// whether it did. A row that was not taken counts as in force only if it repeats the present state.
func (f *freshness) apply(e *hgentry.Entry, version uint64, s *hgdesired.State) (changed bool) {
	if f == nil {
		return e.SetDesired(s)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.version {
		return false
	}
	if changed = e.SetDesired(s); changed || reflect.DeepEqual(e.Desired(), s) {
		f.version = version
		f.evidence.Applied(version)
	}
	return changed
}

// answered handles an answer of the store about the desired state, after its changes were applied. Without a row it proves nothing.
func (f *freshness) answered(rows map[string]hgstore.Row, sent time.Duration) {
	if row, ok := rows[hgplatform.DesiredKey]; ok {
		f.evidence.HandleAnswer(row.Version, sent)
	}
}

// ask returns the function that handles the claim in the reply to a heartbeat that is sent after this call.
func (f *freshness) ask() (handle func(c hgfresh.Claim)) {
	if f == nil {
		return func(hgfresh.Claim) {}
	}
	sent := f.evidence.Now()
	return func(c hgfresh.Claim) { f.evidence.HandleReply(c, sent) }
}

// claim returns the evidence to tell to a peer.
func (f *freshness) claim() hgfresh.Claim {
	if f == nil {
		return hgfresh.Claim{}
	}
	return f.evidence.Claim()
}

// observe logs and counts changes of whether keys may be served, and sets the gauge of the evidence's age.
func (f *freshness) observe(time.Duration) {
	fresh := f.evidence.Fresh()
	age, known := f.evidence.Age()
	if known {
		f.metrics.Set("evidence_age_seconds", age.Seconds())
	}
	if fresh == f.wasFresh {
		return
	}
	f.wasFresh = fresh
	if fresh {
		f.log.Info("desired state is proven to be the newest; serving keys", "age", age, "limit", f.evidence.Limit())
		return
	}
	f.metrics.Count("evidence_expired")
	f.log.Warn("desired state is no longer proven to be the newest; refusing keys", "age", age, "limit", f.evidence.Limit())
}

// status returns the evidence for the status report; nil without a bound on revocation.
func (f *freshness) status() *hgstatus.Freshness {
	if f == nil {
		return nil
	}
	age, known := f.evidence.Age()
	s := &hgstatus.Freshness{Fresh: known && age < f.evidence.Limit(), Known: known, Limit: f.evidence.Limit().Seconds()}
	if known {
		s.Age = age.Seconds()
	}
	return s
}

// desiredOptions returns the options of the watch of the desired state.
func (n *Node) desiredOptions() []hgfeed.Option {
	if n.fresh == nil {
		return []hgfeed.Option{hgfeed.WithWait(n.watchWait)}
	}
	return []hgfeed.Option{hgfeed.WithWait(n.desiredWait), hgfeed.WithEvidence(n.fresh.evidence.Now, n.fresh.answered)}
}

// desiredWait returns how long the store may hold a poll for the desired state, so that the evidence does not expire. An idle node
// whose peers prove its desired state lets the store hold the poll longer, as each poll is billed.
func (n *Node) desiredWait() time.Duration {
	wait := n.watchWait()
	if wait > hgfeed.DefaultWait && n.fresh.evidence.PeersSuffice() {
		return wait
	}
	return min(wait, hgfeed.DefaultWait, n.fresh.evidence.Hold())
}
