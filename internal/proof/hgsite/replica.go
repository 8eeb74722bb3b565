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

// Fault says how a replica treats its next requests.
type Fault struct {
	// Left is the number of requests that are treated so.
	Left int
	// Refuse answers that the request was not run.
	Refuse bool
	// Lose runs the request and breaks the connection without an answer.
	Lose bool
	// Hang runs the request and never answers it.
	Hang bool
	// After is the time that the request runs until then.
	After time.Duration
	// Only says which requests are treated so; nil means all.
	Only func(r Run) bool
	// BreakAfter breaks a stream off after so many events, within the next one; 0 does not.
	BreakAfter int
	// Head sends the head of a stream and breaks it off before its first event.
	Head bool
	// Error answers at once that the request failed.
	Error bool
	// Stranger answers with the identifier of another request.
	Stranger bool
	// StrangeRefusal runs the request behind the refusal of another one, as when an answer comes late.
	StrangeRefusal bool
}

// Run is a request that a replica ran.
type Run struct {
	Replica, Attempt, URI, Body string
	// Born is the number of the replica's start, and Leaving says whether its answer told that it leaves.
	Born      string
	Leaving   bool
	Program   string
	At        time.Time
	Forged    []string
	LastEvent string
	// FetchFrom is the address from which to fetch what is kept of the prompt.
	FetchFrom string
	// Deadline is the time that the replica was given.
	Deadline time.Duration
}

// Replica is a stand-in: a model engine that streams events, or a plain service.
type Replica struct {
	Entry  hgreplica.Entry
	engine bool
	// Events is the number of events of a stream, and Pause the time before each.
	events int
	pause  time.Duration
	srv    *http.Server
	// starts is the number of the replica's last start.
	starts int

	mu    sync.Mutex
	fault Fault
	// guilty says which requests break the replica off whenever they come.
	guilty func(r Run) bool
	// leaving says that all answers tell that the replica leaves.
	leaving bool
	// arrivals is the number of requests that have come, those that were refused included.
	arrivals int
	runs     []Run
	// left holds when the senders of requests in progress went away.
	left []time.Time
}

// newReplica starts a replica on loopback.
func newReplica(e hgreplica.Entry, engine bool, events int, pause time.Duration) (r *Replica, err error) {
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

// Left returns when senders went away from requests in progress.
func (r *Replica) Left() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.left...)
}

// watch notes when the sender of a request goes away; the returned function ends it.
func (r *Replica) watch(ctx context.Context) (end func() bool) {
	return context.AfterFunc(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.left = append(r.left, time.Now())
	})
}

// SetFault replaces the fault.
func (r *Replica) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// SetGuilty sets which requests break the replica off whenever they come.
func (r *Replica) SetGuilty(guilty func(r Run) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.guilty = guilty
}

// SetLeaving sets whether all answers tell that the replica leaves.
func (r *Replica) SetLeaving(leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
}

func (r *Replica) born() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Entry.Born
}

// Arrivals returns the number of requests that have come, those that were refused included.
func (r *Replica) Arrivals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrivals
}

// arrive counts a request and says whether its answer tells that the replica leaves.
func (r *Replica) arrive() (leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals++
	return r.leaving
}

// SetPause changes the time before each event.
func (r *Replica) SetPause(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pause = d
}

func (r *Replica) sleep() {
	r.mu.Lock()
	d := r.pause
	r.mu.Unlock()
	time.Sleep(d)
}

// Runs returns what the replica has run.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// nextFault returns how to treat a request.
func (r *Replica) nextFault(run Run) Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.guilty != nil && r.guilty(run) {
		return Fault{Lose: true}
	}
	if r.fault.Left == 0 || r.fault.Only != nil && !r.fault.Only(run) {
		return Fault{}
	}
	r.fault.Left--
	return r.fault
}

// ServeHTTP runs one request.
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
	answer.Leaving = r.arrive()
	run := Run{
		Replica: r.Entry.ID, Born: r.born(), Leaving: answer.Leaving, Attempt: a.ID, Program: a.Program, URI: q.RequestURI, At: time.Now(), Forged: hgplatform.Forged(q.Header),
		LastEvent: a.LastEvent, Deadline: a.Deadline, FetchFrom: hgplatform.FetchFrom(q.Header),
	}
	f := r.nextFault(run)
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
	defer r.watch(q.Context())()
	if f.StrangeRefusal {
		hgplatform.EncodeAnswer(w.Header(), hgattempt.Answer{AttemptID: "stranger", NotRun: true})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if f.Hang {
		<-q.Context().Done()
		return
	}
	if f.Lose {
		time.Sleep(f.After)
		panic(http.ErrAbortHandler)
	}
	if f.Stranger {
		answer.AttemptID = "stranger"
	}
	answer.Sealed = true
	hgplatform.EncodeAnswer(w.Header(), answer)
	if f.Error {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !r.engine {
		r.sleep()
		fmt.Fprintf(w, "done %s", a.ID)
		return
	}
	r.stream(w, a, f)
}

// Event returns the data of an event of any stream.
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
	if f.Head {
		w.WriteHeader(http.StatusOK)
		if err := flush(); err != nil {
			return
		}
		panic(http.ErrAbortHandler)
	}
	for i := first; i <= r.events; i++ {
		r.sleep()
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, Event(i))
		broken := f.BreakAfter > 0 && i > f.BreakAfter
		if broken {
			event = event[:len(event)/2]
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		if err := flush(); err != nil {
			return
		}
		if broken {
			panic(http.ErrAbortHandler)
		}
	}
}

// Output returns the data of a whole stream, as it goes into the next prompt.
func (r *Replica) Output() string {
	var b strings.Builder
	for i := 1; i <= r.events; i++ {
		b.WriteString(Event(i) + "\n")
	}
	return b.String()
}
