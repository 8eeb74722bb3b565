package hgentry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgdesired"
	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
	"hyssopgrade/internal/serve/hgsuspect"
	"hyssopgrade/internal/state/hgledger"
)

// Dialect reads and writes the headers of a platform.
type Dialect interface {
	// DecodeAttempt reads the headers of a caller's request.
	DecodeAttempt(h http.Header) (a hgattempt.Attempt, err error)
	// Prepare sets the headers of a request for a replica.
	Prepare(h http.Header, s hgattempt.Send)
	// DecodeAnswer reads the head of a replica's answer.
	DecodeAnswer(status int, h http.Header) hgattempt.Answer
}

// Programs decides on the turns of programs.
type Programs interface {
	// Open decides whether a turn may run; owner is to be passed to Close.
	Open(ctx context.Context, q hgledger.OpenRequest) (reply hgledger.OpenReply, owner hgpeer.Info)
	// Close settles a turn; it returns when the turn to keep is durable.
	Close(ctx context.Context, owner hgpeer.Info, q hgledger.CloseRequest) (err error)
}

// Places finds places on replicas.
type Places interface {
	// Take waits for a place; the lease is nil if there is none.
	Take(ctx context.Context, a hgplacer.Ask) (l *hgreplica.Lease, v hgplacer.Verdict)
	// IsFull says whether the replicas of a service are known to be too full for a new program of a rank.
	IsFull(service string, priority int) bool
}

// Suspects knows the requests that break off the replicas that run them, over all entry VMs.
type Suspects interface {
	// Broke tells that a replica broke off while it ran a request.
	Broke(r hgsuspect.Request)
	// Unanswered tells of a run without an answer until its time was over, at a replica that may have ended.
	Unanswered(r hgsuspect.Request, replica string)
	// Ended tells that a replica ran a request to its end.
	Ended(r hgsuspect.Request)
	// Refused says whether a request is not to be run, and for how much longer.
	Refused(r hgsuspect.Request) (left time.Duration, refused bool)
}

// Figures count and time what the entry does.
type Figures interface {
	Count(name string)
	Observe(name string, d time.Duration)
}

// Entry is the handler of the callers' port.
type Entry struct {
	dialect  Dialect
	programs Programs
	places   Places
	replicas *hgreplica.Set
	timer    hgtimer.Timer
	log      *slog.Logger
	figures  Figures
	suspects Suspects
	// memory is what answers that are held until they are whole may take together.
	memory   *hgmemory.Pool
	desired  atomic.Pointer[hgdesired.State]
	stopping atomic.Bool
	running  atomic.Int64
}

// NewEntry returns a handler that refuses everything until it has a desired state.
func NewEntry(d Dialect, p Programs, places Places, r *hgreplica.Set, timer hgtimer.Timer, log *slog.Logger, f Figures, s Suspects, m *hgmemory.Pool) *Entry {
	return &Entry{dialect: d, programs: p, places: places, replicas: r, timer: timer, log: log, figures: f, suspects: s, memory: m}
}

// SetDesired puts a desired state in force unless a newer one is.
func (e *Entry) SetDesired(s *hgdesired.State) (changed bool) {
	for {
		have := e.desired.Load()
		if have != nil && have.Version >= s.Version {
			return false
		}
		if e.desired.CompareAndSwap(have, s) {
			return true
		}
	}
}

// Desired returns the desired state in force, or nil.
func (e *Entry) Desired() *hgdesired.State { return e.desired.Load() }

// Stop makes callers leave: each answer from now on closes its connection.
func (e *Entry) Stop() { e.stopping.Store(true) }

// Running returns the number of requests in progress.
func (e *Entry) Running() int { return int(e.running.Load()) }

const (
	// defaultMaxBody bounds a body while no desired state says so.
	defaultMaxBody = 4 << 20
	// defaultTimeout bounds requests of routes without a bound.
	defaultTimeout = 30 * time.Second
)

// ServeHTTP serves one request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.running.Add(1)
	defer e.running.Add(-1)
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{entry: e, w: w, r: r, start: e.timer.Now(), state: e.desired.Load()}
	x.serve()
}

// exchange is one request of a caller and its answer.
type exchange struct {
	entry   *Entry
	w       http.ResponseWriter
	r       *http.Request
	start   time.Duration
	state   *hgdesired.State
	route   hgdesired.Route
	attempt hgattempt.Attempt
	body    []byte
	// suspect is the request as the list of those that break off replicas knows it.
	suspect hgsuspect.Request
	ctx     context.Context
	// limit is when the caller or the route gives up.
	limit time.Duration
	turn  *turn

	// sent counts the replicas that may have run the request, and tries all that were asked.
	sent, tries int
	replica     string
	// status is that of the answer that was passed on.
	status int
	// why is what decided for the replica.
	why hgreplica.Why
	// openTook, headTook and keepTook are what the opening of the turn, the head of the last answer and the writing of
	// the turn took.
	openTook, headTook, keepTook time.Duration
	// placeTook is the time in which places were waited for.
	placeTook time.Duration
}

func (x *exchange) serve() {
	var err error
	if x.attempt, err = x.entry.dialect.DecodeAttempt(x.r.Header); err != nil {
		x.refuse(http.StatusBadRequest, err.Error())
		return
	}
	if !x.readBody() {
		return
	}
	if x.state == nil {
		x.refuse(http.StatusServiceUnavailable, "no desired state yet")
		return
	}
	route, ok := x.state.Route(hostOnly(x.r.Host), x.r.URL.EscapedPath())
	if !ok {
		x.refuse(http.StatusNotFound, "no route")
		return
	}
	x.route = route
	allowed := route.Timeout
	if allowed <= 0 {
		allowed = defaultTimeout
	}
	if x.attempt.Deadline > 0 {
		allowed = min(allowed, x.attempt.Deadline)
	}
	x.limit = x.start + allowed
	ctx, cancel := context.WithTimeout(x.r.Context(), x.limit-x.entry.timer.Now())
	defer cancel()
	x.ctx = ctx
	x.suspect = hgsuspect.NewRequest(x.service(), x.caller(), x.r.Method, x.r.RequestURI, x.attempt.Object, x.body)
	if _, refused := x.entry.suspects.Refused(x.suspect); refused {
		x.giveUp(errSuspect)
		return
	}
	x.forward()
}

// caller names who sends the request: the program that it belongs to, or else the address.
func (x *exchange) caller() string {
	if x.attempt.Program != "" {
		return "program " + x.attempt.Program
	}
	return hostOnly(x.r.RemoteAddr)
}

func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

func (x *exchange) readBody() bool {
	most := int64(defaultMaxBody)
	if x.state != nil && x.state.Limits.MaxBodyBytes > 0 {
		most = x.state.Limits.MaxBodyBytes
	}
	if x.r.ContentLength > most {
		x.refuse(http.StatusRequestEntityTooLarge, "body is too large")
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, most))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, "body is too large")
	case err != nil:
		x.refuse(http.StatusBadRequest, "body could not be read")
	}
	x.body = body
	return err == nil
}

// forward serves a request whose route is known.
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

// left returns the time until the caller or the route gives up.
func (x *exchange) left() time.Duration { return x.limit - x.entry.timer.Now() }

// Times to come back, in seconds: after a refusal for load, for a new program while others are under way, for a service
// without a replica, when another node steps in, and for a store that no node reaches. The last one is long, so that the
// few tries that a caller has are spread over an outage of seconds.
const (
	comeBackBusy   = 0.15
	comeBackFull   = 0.7
	comeBackNone   = 0.7
	comeBackStepIn = 0.3
	comeBackOutage = 1.2
)

// refuse answers a request that was not run.
func (x *exchange) refuse(status int, reason string) {
	x.answer(status, reason, comeBackBusy)
}

// answer gives an answer of the node's own.
func (x *exchange) answer(status int, reason string, comeBack float64) {
	h := x.w.Header()
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(comeBack, 'f', 2, 64))
	}
	h.Set("Content-Type", "application/json")
	body := `{"error":` + strconv.Quote(reason) + "}"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := io.WriteString(x.w, body); err != nil {
		reason += ": " + err.Error()
	}
	x.report(status, reason)
}

// report logs the end of a request: where it went, why, and how it ended.
func (x *exchange) report(status int, reason string) {
	now := x.entry.timer.Now()
	args := []any{
		"attempt", x.attempt.ID, "program", x.attempt.Program, "digest", x.suspect.Caller, "route", x.route.Name, "status", status, "reason", reason,
		"ms", (now - x.start).Milliseconds(), "version", x.version(), "sent", x.sent, "tries", x.tries,
	}
	if x.tries > 0 {
		w := x.why
		args = append(args, "replica", x.replica, "of", w.Of, "miss", w.Miss, "fetch", w.Fetch, "own", w.Own, "all", w.All,
			"loadAgeMs", w.ReportAge.Milliseconds(), "costMs", w.Cost.Milliseconds())
	}
	if x.attempt.Program != "" {
		args = append(args, "session", x.attempt.Session, "aimLeftMs", x.attempt.ProgramLeft.Milliseconds(), "prompt", x.attempt.TokensIn,
			"openMs", x.openTook.Milliseconds(), "placeMs", x.placeTook.Milliseconds(), "headMs", x.headTook.Milliseconds(), "keepMs", x.keepTook.Milliseconds())
	}
	if x.turn != nil {
		args = append(args, "owner", x.turn.owner.Name)
	}
	x.entry.log.Info("request", args...)
}

func (x *exchange) version() uint64 {
	if x.state == nil {
		return 0
	}
	return x.state.Version
}

// abort breaks the caller's connection, so that an answer that is not whole does not look so.
func (x *exchange) abort(reason string) {
	x.report(0, reason)
	panic(http.ErrAbortHandler)
}
