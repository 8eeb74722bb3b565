package hgsite

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"hyssopgrade/internal/serve/hgattempt"
	"hyssopgrade/internal/serve/hgreplica"
	hgplatform "hyssopgrade/platform"
)

// Fault describes how a replica mishandles its next requests.
type Fault struct {
	// Remaining is the number of requests that the fault still applies to.
	Remaining int
	// Refuse answers that the request was not executed.
	Refuse bool
	// DropConnection runs the request and closes the connection without an answer, as a crashing replica does.
	DropConnection bool
	// Hang runs the request and never answers it.
	Hang bool
	// DropAfter is the time that the request runs before DropConnection closes the connection.
	DropAfter time.Duration
	// Match selects the requests that the fault applies to; nil selects all.
	Match func(r Run) bool
	// CutAfterEvents closes a stream's connection after that many complete events, in the middle of the next; 0 disables it.
	CutAfterEvents int
	// CutAfterHeaders sends the headers of a stream and closes the connection before the first event.
	CutAfterHeaders bool
	// UntilClose answers with neither a length nor chunks, so that the answer ends with its connection.
	UntilClose bool
	// ResetAfter resets the connection after that many events of a stream, or bytes of a plain body; 0 disables it.
	ResetAfter int
	// Error answers immediately with status 500.
	Error bool
	// WrongAttemptID runs the request and answers with the attempt identifier of another request.
	WrongAttemptID bool
	// RefuseWrongAttemptID runs the request but sends the refusal of another one, as a late answer to an earlier
	// request would look.
	RefuseWrongAttemptID bool
}

// Run is a record of a request that a replica executed.
type Run struct {
	Replica, Attempt, URI, Body string
	// Incarnation is the number of the replica's start; Leaving reports whether the answer announced that it is leaving.
	Incarnation string
	Leaving     bool
	Program     string
	At          time.Time
	Forged      []string
	LastEvent   string
	// FetchFrom is the address of the replica from which to fetch the cached part of the prompt.
	FetchFrom string
	// Deadline is the time that the request left to the replica.
	Deadline time.Duration
	// Teams are the teams that the replica was told, and HasKey reports whether the request carried a key.
	Teams  []string
	HasKey bool
}

// Replica is a stand-in for an endpoint: a model engine that streams events, or a tool that answers with a plain body.
type Replica struct {
	Entry  hgreplica.Registration
	engine bool
	// events is the number of events of a stream; pause is the time before each event, and before a tool's answer.
	events int
	pause  time.Duration
	srv    *http.Server
	// starts is the number of the replica's latest start, from which its incarnation is made.
	starts int

	mu    sync.Mutex
	fault Fault
	// crashing selects the requests that crash the replica every time, whatever the fault.
	crashing func(r Run) bool
	// leaving makes all answers announce that the replica is leaving.
	leaving bool
	// arrivals is the number of requests received, including refused ones.
	arrivals int
	runs     []Run
	// disconnects holds the times at which senders disconnected from requests in progress.
	disconnects []time.Time
}

// newReplica starts a replica on loopback and enters its address into the registration.
func newReplica(e hgreplica.Registration, engine bool, events int, pause time.Duration) (r *Replica, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.Address = l.Addr().String()
	r = &Replica{Entry: e, starts: firstStart, engine: engine, events: events, pause: pause}
	r.srv = &http.Server{Handler: r}
	go func() { _ = r.srv.Serve(l) }()
	return r, nil
}

// Disconnects returns the times at which senders disconnected from requests in progress.
func (r *Replica) Disconnects() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.disconnects...)
}

// watchDisconnect records when the sender of a request disconnects; the returned function stops watching.
func (r *Replica) watchDisconnect(ctx context.Context) (end func() bool) {
	return context.AfterFunc(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.disconnects = append(r.disconnects, time.Now())
	})
}

// SetFault replaces the fault; the zero value removes it.
func (r *Replica) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// SetCrashing sets which requests crash the replica every time; the replica drops the connection of each.
func (r *Replica) SetCrashing(crashing func(r Run) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashing = crashing
}

// SetLeaving sets whether all answers announce that the replica is leaving.
func (r *Replica) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
}

func (r *Replica) incarnation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Entry.Born
}

// Arrivals returns the number of requests received, including refused ones.
func (r *Replica) Arrivals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals
}

// countArrival counts a request and reports whether its answer announces that the replica is leaving.
func (r *Replica) countArrival() (leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals++
	return r.leaving
}

// SetPause sets the time before each event of a stream, and before a tool's answer.
func (r *Replica) SetPause(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pause = d
}

// SetEvents sets the number of events of a stream.
func (r *Replica) SetEvents(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = n
}

func (r *Replica) eventCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events
}

func (r *Replica) sleep() {
	r.mu.Lock()
	d := r.pause
	r.mu.Unlock()
	time.Sleep(d)
}

// Runs returns the requests that the replica has executed, in order of arrival.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// takeFault returns the fault that applies to a request and counts it against Remaining.
func (r *Replica) takeFault(run Run) Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashing != nil && r.crashing(run) {
		return Fault{DropConnection: true}
	}
	if r.fault.Remaining == 0 || r.fault.Match != nil && !r.fault.Match(run) {
		return Fault{}
	}
	r.fault.Remaining--
	return r.fault
}

// ServeHTTP executes one request with the current fault. A request meant for another replica gets status 421.
func (r *Replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	a, err := hgplatform.Dialect{}.DecodeAttempt(q.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := hgattempt.Answer{AttemptID: a.ID}
	if hgplatform.ExpectedReplica(q.Header) != r.Entry.ID {
		hgplatform.EncodeAnswer(w.Header(), answer)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	answer.Leaving = r.countArrival()
	run := Run{
		Replica: r.Entry.ID, Incarnation: r.incarnation(), Leaving: answer.Leaving, Attempt: a.ID, Program: a.Program, URI: q.RequestURI, At: time.Now(), Forged: hgplatform.ForgedHeaders(q.Header),
		LastEvent: a.LastEvent, Deadline: a.Deadline, FetchFrom: hgplatform.FetchFrom(q.Header),
	}
	run.Teams, run.HasKey = hgplatform.TeamOf(q.Header)
	f := r.takeFault(run)
	if f.Refuse {
		answer.NotRun = true
		hgplatform.EncodeAnswer(w.Header(), answer)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	run.Body = string(body)
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	defer r.watchDisconnect(q.Context())()
	if f.RefuseWrongAttemptID {
		hgplatform.EncodeAnswer(w.Header(), hgattempt.Answer{AttemptID: "stranger", NotRun: true})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.Hang {
		<-q.Context().Done()
		return
	}
	if f.DropConnection {
		time.Sleep(f.DropAfter)
		panic(http.ErrAbortHandler)
	}
	if f.WrongAttemptID {
		answer.AttemptID = "stranger"
	}
	answer.Sealed = true
	hgplatform.EncodeAnswer(w.Header(), answer)
	if f.UntilClose {
		// The server of net/http then frames the body by closing the connection.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if f.Error {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !r.engine {
		r.sleep()
		sendPlain(w, "done "+a.ID, f)
		return
	}
	r.stream(w, a, f)
}

func sendPlain(w http.ResponseWriter, body string, f Fault) {
	if f.ResetAfter == 0 {
		_, _ = io.WriteString(w, body) // an error means that the sender has disconnected
		return
	}
	if _, err := io.WriteString(w, body[:f.ResetAfter]); err == nil {
		reset(w)
	}
}

// reset sends what was written so far and then resets the connection.
func reset(w http.ResponseWriter) {
	c := http.NewResponseController(w)
	if err := c.Flush(); err != nil {
		return
	}
	conn, _, err := c.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // an error means that the connection is closed already
	}
	conn.Close()
}

// Event returns the data of event i of a stream, counted from 1; it is the same for all streams.
func Event(i int) string { return fmt.Sprintf("word%d", i) }

func (r *Replica) stream(w http.ResponseWriter, a hgattempt.Attempt, f Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	first := 1
	if a.LastEvent != "" {
		if _, err := fmt.Sscan(a.LastEvent, &first); err == nil {
			first++
		}
	}
	if f.CutAfterHeaders {
		w.WriteHeader(http.StatusOK)
		if err := flush(); err != nil {
			return
		}
		panic(http.ErrAbortHandler)
	}
	for i := first; i <= r.eventCount(); i++ {
		r.sleep()
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, Event(i))
		cut := f.CutAfterEvents > 0 && i > f.CutAfterEvents
		if cut {
			event = event[:len(event)/2]
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		if err := flush(); err != nil {
			return
		}
		if cut {
			panic(http.ErrAbortHandler)
		}
		if i == f.ResetAfter {
			reset(w)
			return
		}
	}
}

// Output returns the text of a complete stream, in the form in which it becomes part of the next prompt.
func (r *Replica) Output() string {
	var b strings.Builder
	for i := 1; i <= r.eventCount(); i++ {
		b.WriteString(Event(i) + "\n")
	}
	return b.String()
}
