package hgentry

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgcap"
	"hyssopgrade/internal/serve/hgdesired"
	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
	"hyssopgrade/internal/serve/hgsuspect"
	"hyssopgrade/internal/serve/hgteam"
	"hyssopgrade/internal/state/hgledger"
)

// Dialect translates between the HTTP headers of a platform and the types of hgattempt.
type Dialect interface {
	// DecodeAttempt parses the headers of a caller's request; the text of its error is sent to the caller.
	DecodeAttempt(h http.Header) (a hgattempt.Attempt, err error)
	// Prepare sets the platform's headers on a request that is sent to a replica.
	Prepare(h http.Header, s hgattempt.Send)
	// DecodeAnswer parses status and headers of a replica's response.
	DecodeAnswer(status int, h http.Header) hgattempt.Answer
}

// Programs opens and closes the turns of programs, with their budgets and their retained history.
type Programs interface {
	// Open decides whether a turn may run. The caller passes owner, the node that decided, to Close.
	Open(ctx context.Context, q hgledger.OpenRequest) (reply hgledger.OpenReply, owner hgpeer.Info)
	// Close releases what is left of the turn's reservation. If the turn is to be retained, Close returns once it is durable.
	Close(ctx context.Context, owner hgpeer.Info, q hgledger.CloseRequest) (err error)
	// Extend adds tokens to the turn's reservation and returns how many.
	Extend(ctx context.Context, owner hgpeer.Info, q hgledger.ExtendRequest) (tokens int)
	// IsStopping reports whether the node that opened a turn is known to shut down.
	IsStopping(owner hgpeer.Info) bool
}

// Placer queues requests for engines and grants them leases on replicas.
type Placer interface {
	// Take waits for a lease until a.Wait has passed or ctx ends; l is nil unless v is hgplacer.Granted.
	Take(ctx context.Context, a hgplacer.PlaceRequest) (l *hgreplica.Lease, v hgplacer.Verdict)
	// IsFull reports whether the replicas of a service are known to be too busy for a new program of a team and a priority.
	IsFull(service, team string, priority int) bool
}

// Suspects tracks requests that seem to crash the replicas that run them, across all entry VMs.
type Suspects interface {
	// RecordCrash records that a replica's connection broke while it ran a request: a suspected crash.
	RecordCrash(r hgsuspect.Request)
	// RecordUnanswered records that a request had no complete response when its deadline passed or its caller disconnected. It
	// counts as a crash if the replica turns out to have ended.
	RecordUnanswered(r hgsuspect.Request, replica string)
	// RecordCompletion records that a replica ran a request to completion.
	RecordCompletion(r hgsuspect.Request)
	// Refused reports whether a request must not run, and for how much longer.
	Refused(r hgsuspect.Request) (left time.Duration, refused bool)
	// MayRetry reports whether a request whose run broke off may be sent to another replica.
	MayRetry(r hgsuspect.Request) bool
}

// Metrics records counters and durations.
type Metrics interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

// Entry is the HTTP handler of the port that callers connect to; it is safe for concurrent use.
type Entry struct {
	dialect  Dialect
	programs Programs
	placer   Placer
	replicas *hgreplica.Set
	timer    hgtimer.Timer
	log      *slog.Logger
	metrics  Metrics
	suspects Suspects
	// memory bounds the bytes of all responses that are buffered until they are complete.
	memory *hgmemory.Pool
	// account bounds the bytes of all requests.
	account *hgmemory.Account
	desired atomic.Pointer[hgdesired.State]
	// hasDesired is closed when the first desired state is known.
	hasDesired chan struct{}
	stop       stop
	// running is the number of requests in progress.
	running atomic.Int64
	// freshness and caps apply to the requests of teams.
	freshness Freshness
	caps      Caps
	uses      teamUses
}

// NewEntry returns a handler that rejects all requests until SetDesired has been called.
func NewEntry(d Dialect, p Programs, placer Placer, r *hgreplica.Set, timer hgtimer.Timer, log *slog.Logger, f Metrics, s Suspects, m *hgmemory.Pool, opts ...Option) *Entry {
	e := &Entry{
		dialect: d, programs: p, placer: placer, replicas: r, timer: timer, log: log, metrics: f, suspects: s, memory: m,
		account: hgmemory.NewAccount(defaultBodyBytes, timer), hasDesired: make(chan struct{}),
	}
	e.stop.ended, e.stop.end = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// SetDesired applies a desired state unless the current one has the same or a newer version, and reports whether it did.
func (e *Entry) SetDesired(s *hgdesired.State) (changed bool) {
	for {
		have := e.desired.Load()
		if have != nil && have.Version >= s.Version {
			return false
		}
		if e.desired.CompareAndSwap(have, s) {
			if have == nil {
				close(e.hasDesired)
			}
			return true
		}
	}
}

// Desired returns the current desired state, or nil if there is none yet.
func (e *Entry) Desired() *hgdesired.State { return e.desired.Load() }

// Running returns the number of requests in progress, for metrics, the status page and the log.
func (e *Entry) Running() int { return int(e.running.Load()) }

const (
	// defaultTimeout is the timeout of requests of routes that set none.
	defaultTimeout = 30 * time.Second
)

// ServeHTTP forwards one request of a caller and writes the response.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Add(-1)
	x := &exchange{entry: e, w: w, r: r, start: e.timer.Now(), state: e.desired.Load()}
	x.serve()
}

// exchange is one request of a caller and the response to it.
type exchange struct {
	entry   *Entry
	w       http.ResponseWriter
	r       *http.Request
	start   time.Duration
	state   *hgdesired.State
	route   hgdesired.Route
	attempt hgattempt.Attempt
	body    []byte
	// held is the charge for the body; nil if there is none.
	held *hgmemory.Claim
	// heldText is the charge for the text of the turns that this one continues; nil if it continues none.
	heldText *hgmemory.Claim
	// digests identify the request in Suspects.
	digests hgsuspect.Request
	ctx     context.Context
	// deadline is when the timeout of the caller or of the route expires, whichever is first, on the entry's timer.
	deadline time.Duration
	turn     *turn
	// team is the team that the request belongs to; the zero value if it belongs to none.
	team hgteam.Team
	// capReply is the last decision on the cap of the team, and capAt when it was made.
	capReply hgcap.Reply
	capAt    time.Duration

	// sent counts the replicas that may have run the request; tries counts all that were asked, including those that
	// refused it.
	sent, tries int
	replica     string
	// status is the status code of the response that was passed on.
	status int
	// cause is the error for which the request failed, with the texts of libraries; nil if it did not.
	cause error
	// decision holds the figures by which the last replica was picked.
	decision hgreplica.Decision
	// openTime is how long it took to open the turn, headTime how long the headers of the last replica's response took,
	// and retainTime how long it took to store the turn.
	openTime, headTime, retainTime time.Duration
	// leaseTime is the total time spent waiting for leases.
	leaseTime time.Duration
}

// serve decodes the request, finds its route, refuses it if it is suspected of crashing replicas or comes too late in a stop, and else
// forwards it.
func (x *exchange) serve() {
	var err error
	if x.attempt, err = x.entry.dialect.DecodeAttempt(x.r.Header); err != nil {
		x.refuse(http.StatusBadRequest, err.Error())
		return
	}
	defer x.closeBody()
	if !x.readBody() {
		return
	}
	if x.state == nil {
		x.awaitDesired()
	}
	if x.state == nil {
		x.respond(http.StatusServiceUnavailable, "no desired state yet", retryAfterNotReady*(0.8+0.4*rand.Float64()))
		return
	}
	route, ok := x.state.Route(hostOnly(x.r.Host), x.r.URL.EscapedPath())
	if !ok {
		x.refuse(http.StatusNotFound, "no route")
		return
	}
	x.route = route
	if !x.authorize() {
		return
	}
	x.deadline = x.start + x.allowed(route)
	ctx, cancel := context.WithTimeout(x.r.Context(), x.deadline-x.entry.timer.Now())
	defer cancel()
	defer context.AfterFunc(x.entry.stop.ended, cancel)()
	x.ctx = ctx
	x.digests = hgsuspect.NewRequest(x.service(), x.caller(), x.r.Method, x.r.RequestURI, x.attempt.Object, x.previous(), x.body)
	if _, refused := x.entry.suspects.Refused(x.digests); refused {
		x.respondError(errSuspect)
		return
	}
	if x.isTooLate() {
		x.respondError(errStopping)
		return
	}
	if !x.takeCap() {
		return
	}
	defer x.returnCap() // also if the request is aborted
	x.forward()
}

// allowed returns the time that a request of a route may take from its arrival on; the zero Route stands for an unknown one.
func (x *exchange) allowed(route hgdesired.Route) time.Duration {
	allowed := route.Timeout
	if allowed <= 0 {
		allowed = defaultTimeout
	}
	if x.attempt.Deadline > 0 {
		allowed = min(allowed, x.attempt.Deadline)
	}
	return allowed
}

// startWait is how long a request waits for the desired state of a node that has just started. A start takes about 10 ms if
// the store answers.
const startWait = 300 * time.Millisecond

// awaitDesired waits for the first desired state for up to startWait.
func (x *exchange) awaitDesired() {
	select {
	case <-x.entry.hasDesired:
		x.state = x.entry.desired.Load()
	case <-time.After(startWait):
	case <-x.r.Context().Done():
	}
}

// caller identifies who sends the request: the program that it belongs to, or the IP address if it names no program.
func (x *exchange) caller() string {
	if x.attempt.Program != "" {
		return "program " + x.attempt.Program
	}
	return hostOnly(x.r.RemoteAddr)
}

// previous returns the turn whose chain the replica reads before the body; empty if there is none.
func (x *exchange) previous() string {
	if !x.route.Retain || x.attempt.Program == "" {
		return ""
	}
	return x.attempt.Previous
}

// hostOnly strips the port, if there is one.
func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// forward serves a request after its route was found, according to the kind of the route.
func (x *exchange) forward() {
	if x.route.Kind != hgdesired.Stream {
		x.forwardPlain()
		return
	}
	if x.route.RetainFor > 0 && x.attempt.Program != "" {
		if !x.openTurn() {
			return
		}
	}
	x.forwardStream()
}

// remaining returns the time until the deadline.
func (x *exchange) remaining() time.Duration { return x.deadline - x.entry.timer.Now() }

// Values of Retry-After, in seconds.
const (
	// retryAfterBusy is sent when no replica had room in time, and with all refusals that have no value of their own below.
	retryAfterBusy = 0.15
	// retryAfterFull is sent to new programs while replicas are busy with programs in progress.
	retryAfterFull = 0.7
	// retryAfterNoReplica is sent when the service has no replica.
	retryAfterNoReplica = 0.7
	// retryAfterFailover is sent while another node takes over the program.
	retryAfterFailover = 0.3
	// retryAfterOutage is sent when no node reaches the store. It is long because callers make few attempts: these have to
	// span an outage of several seconds.
	retryAfterOutage = 1.2
	// retryAfterStopping is sent by a node that stops. All others serve the request at once.
	retryAfterStopping = 0
	// retryAfterNotReady is sent by a node that has just started and does not know the desired state yet. All nodes may have
	// been lost at once, during an outage of the store.
	retryAfterNotReady = 1.0
)

// refuse responds with an error to a request that was not run.
func (x *exchange) refuse(status int, reason string) {
	x.respond(status, reason, retryAfterBusy)
}

// announceClose tells the caller of a node that stops to reconnect elsewhere; status and headers are not written yet.
func (x *exchange) announceClose() {
	if x.entry.isStopping() {
		x.w.Header().Set("Connection", "close")
	}
}

// respond writes an error of this node's own. retryAfter, in seconds, is sent with status 503 and 429 only.
func (x *exchange) respond(status int, reason string, retryAfter float64) {
	x.announceClose()
	h := x.w.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter, 'f', 2, 64))
	}
	h.Set("Content-Type", "application/json")
	body := `{"error":` + strconv.Quote(reason) + "}"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := io.WriteString(x.w, body); err != nil {
		reason += ": " + err.Error()
	}
	x.logResult(status, reason)
}

// logResult logs how a request ended, which replica ran it and the figures by which that replica was picked.
func (x *exchange) logResult(status int, reason string) {
	x.countTeam(status)
	now := x.entry.timer.Now()
	args := []any{
		"attempt", x.attempt.ID, "program", x.attempt.Program, "digest", x.digests.Caller, "route", x.route.Name, "status", status, "reason", reason,
		"ms", (now - x.start).Milliseconds(), "version", x.version(), "sent", x.sent, "tries", x.tries,
	}
	if x.tries > 0 {
		w := x.decision
		args = append(args, "replica", x.replica, "of", w.Of, "miss", w.Miss, "fetch", w.Fetch, "own", w.Own, "all", w.All,
			"loadAgeMs", w.ReportAge.Milliseconds(), "costMs", w.Cost.Milliseconds())
	}
	if x.attempt.Program != "" {
		args = append(args, "session", x.attempt.Session, "aimLeftMs", x.attempt.ProgramLeft.Milliseconds(), "prompt", x.attempt.TokensIn,
			"openMs", x.openTime.Milliseconds(), "placeMs", x.leaseTime.Milliseconds(), "headMs", x.headTime.Milliseconds(), "keepMs", x.retainTime.Milliseconds())
	}
	if x.team.Name != "" {
		args = append(args, "team", x.team.Name)
	}
	if x.turn != nil {
		args = append(args, "owner", x.turn.owner.Name)
	}
	if x.cause != nil && x.cause.Error() != reason {
		args = append(args, "cause", x.cause.Error())
	}
	x.entry.log.Info("request", args...)
}

// version returns the version of the desired state that the request was served under; 0 if there was none.
func (x *exchange) version() uint64 {
	if x.state == nil {
		return 0
	}
	return x.state.Version
}

// abort closes the caller's connection, so that the caller does not take a truncated response for a complete one.
func (x *exchange) abort(reason string) {
	x.logResult(0, reason)
	panic(http.ErrAbortHandler)
}
