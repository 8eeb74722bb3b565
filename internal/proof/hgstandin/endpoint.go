package hgstandin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"hyssopgrade/internal/serve/hgendpoint"
)

// Fault says how an endpoint misbehaves.
type Fault struct {
	// Hang keeps requests without an answer.
	Hang bool `json:"hang"`
	// SlowMs delays each answer, in milliseconds.
	SlowMs int `json:"slowMs"`
	// LoseReplies is the number of coming tool calls that take effect and cut the connection.
	LoseReplies int `json:"loseReplies"`
	// CutPieces is the number of coming model answers that are cut in the middle.
	CutPieces int `json:"cutPieces"`
	// Crossed is the number of coming answers that carry another request's identifier.
	Crossed int `json:"crossed"`
	// CrashOn crashes the endpoint on requests whose content contains it.
	CrashOn string `json:"crashOn"`
	// RestartMs is the time that a crashed endpoint is gone, in milliseconds.
	RestartMs int `json:"restartMs"`
	// Leaving says in the load report that the endpoint leaves.
	Leaving bool `json:"leaving"`
	// Draining refuses new requests and says so in the load report.
	Draining bool `json:"draining"`
	// HideOutcomes tells no outcomes of earlier requests.
	HideOutcomes bool `json:"hideOutcomes"`
}

// Execution is one request that an endpoint executed.
type Execution struct {
	Request   string `json:"request"`
	Program   string `json:"program"`
	Operation string `json:"operation"`
	Fence     string `json:"fence"`
	// StartUs and EndUs are wall-clock times, in microseconds; EndUs is 0 while it runs.
	StartUs int64 `json:"startUs"`
	EndUs   int64 `json:"endUs"`
	// Tokens is the number of tokens generated.
	Tokens uint64 `json:"tokens"`
}

// Options set up an Endpoint.
type Options struct {
	// TokenTime is the time per generated token.
	TokenTime time.Duration
	// PrefillTime is the time per prompt token that is not cached.
	PrefillTime time.Duration
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// ChecksFencing refuses requests with an old fencing number.
	ChecksFencing bool
}

// Endpoint is a model engine and a tool service in one.
type Endpoint struct {
	*Server
	opts Options

	mu       sync.Mutex
	fault    Fault
	record   []*Execution
	outcomes map[string]hgendpoint.ToolResult
	fences   map[string]uint64
	running  int
	crashes  int
	cache    *cache
}

// NewEndpoint serves an endpoint at the address.
func NewEndpoint(address string, opts Options) (e *Endpoint, err error) {
	e = &Endpoint{
		opts: opts, outcomes: map[string]hgendpoint.ToolResult{}, fences: map[string]uint64{},
		cache: newCache(opts.CacheTokens),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("POST /call/{operation}", e.call)
	mux.HandleFunc("POST /orders/prefix", e.order)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /outcome", e.outcome)
	mux.HandleFunc("GET /cache/programs", e.programs)
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Record()) })
	mux.HandleFunc("GET /waste", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Waste()) })
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if readJSON(w, r, &f) {
			e.SetFault(f)
		}
	})
	e.Server, err = listen(address, mux)
	return e, err
}

// SetFault replaces the faults in force.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Record returns the executions so far.
func (e *Endpoint) Record() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Execution, len(e.record))
	for i, x := range e.record {
		list[i] = *x
	}
	return list
}

// Crashes returns how often the endpoint crashed.
func (e *Endpoint) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Waste counts the tokens written into a prefix cache and those of them that were never reused.
type Waste struct {
	Written uint64 `json:"written"`
	Unused  uint64 `json:"unused"`
}

// Waste returns what the prefix cache counted.
func (e *Endpoint) Waste() Waste {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.waste()
}

// begin checks the fence and the faults and records an execution; ok is false when the request is refused.
func (e *Endpoint) begin(w http.ResponseWriter, r *http.Request, operation, content string) (x *Execution, ok bool) {
	e.mu.Lock()
	f := e.fault
	fence := r.Header.Get(hgendpoint.HeaderFence)
	switch {
	case f.Draining:
		e.mu.Unlock()
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return nil, false
	case e.opts.ChecksFencing && !e.checkFence(fence):
		e.mu.Unlock()
		http.Error(w, "old fencing number "+fence, http.StatusPreconditionFailed)
		return nil, false
	}
	x = &Execution{
		Request: r.Header.Get(hgendpoint.HeaderRequest), Program: r.Header.Get(hgendpoint.HeaderProgram),
		Operation: operation, Fence: fence, StartUs: time.Now().UnixMicro(),
	}
	e.record = append(e.record, x)
	e.running++
	crash := f.CrashOn != "" && strings.Contains(content, f.CrashOn)
	if crash {
		e.crashes++
		e.cache = newCache(e.opts.CacheTokens)
	}
	e.mu.Unlock()
	if crash {
		e.crash(time.Duration(f.RestartMs) * time.Millisecond)
		e.end(x, 0)
		panic(http.ErrAbortHandler)
	}
	if !pause(r.Context(), f) {
		e.end(x, 0)
		return nil, false
	}
	return x, true
}

// checkFence keeps the highest epoch of each shard; the caller holds the lock.
func (e *Endpoint) checkFence(fence string) bool {
	var shard, epoch uint64
	if _, err := fmt.Sscanf(fence, "%d:%d", &shard, &epoch); err != nil {
		return false
	}
	key := fmt.Sprint(shard)
	if epoch < e.fences[key] {
		return false
	}
	e.fences[key] = epoch
	return true
}

// pause hangs or slows a request; it returns false when its caller is gone.
func pause(ctx context.Context, f Fault) bool {
	if f.Hang {
		<-ctx.Done()
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(f.SlowMs) * time.Millisecond):
		return true
	}
}

func (e *Endpoint) end(x *Execution, tokens uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	x.EndUs = time.Now().UnixMicro()
	x.Tokens = tokens
}

// take counts one use of a fault down and tells whether it was in force.
func (e *Endpoint) take(count func(f *Fault) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := count(&e.fault)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func crossed(f *Fault) *int { return &f.Crossed }

// answerID sets the request identifier of the answer.
func (e *Endpoint) answerID(w http.ResponseWriter, request string) {
	if e.take(crossed) {
		request = "another-" + request
	}
	w.Header().Set(hgendpoint.HeaderRequest, request)
}

// call executes a tool call: its effect is the execution's record, which happens before any answer.
func (e *Endpoint) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	op := r.PathValue("operation")
	x, ok := e.begin(w, r, op, string(body))
	if !ok {
		return
	}
	sleep(r.Context(), body)
	answer := hgendpoint.ToolResult{Status: http.StatusOK, Body: fmt.Appendf(nil, `{"operation":%q,"request":%q}`, op, x.Request)}
	e.end(x, 0)
	e.mu.Lock()
	e.outcomes[x.Request] = answer
	e.mu.Unlock()
	if e.take(func(f *Fault) *int { return &f.LoseReplies }) {
		panic(http.ErrAbortHandler)
	}
	e.answerID(w, x.Request)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer.Body)
}

// sleep takes the time that a tool call's body names.
func sleep(ctx context.Context, body []byte) {
	var ms int
	if _, err := fmt.Sscanf(string(body), `{"durationMs":%d`, &ms); err != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(ms) * time.Millisecond):
	}
}

func (e *Endpoint) outcome(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	request := r.URL.Query().Get("request")
	if e.fault.HideOutcomes {
		http.NotFound(w, r)
		return
	}
	if e.opts.ChecksFencing && !e.checkFence(r.URL.Query().Get("fence")) {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	o := hgendpoint.Outcome{State: hgendpoint.OutcomeUnseen}
	if e.seen(request) {
		o.State = hgendpoint.OutcomeRunning
	}
	if t, ok := e.outcomes[request]; ok {
		o = hgendpoint.Outcome{State: hgendpoint.OutcomeEnded, Result: t}
	}
	writeJSON(w, http.StatusOK, o)
}

// seen tells whether an execution of the request was recorded; the caller holds the lock.
func (e *Endpoint) seen(request string) bool {
	return slices.ContainsFunc(e.record, func(x *Execution) bool { return x.Request == request })
}

func (e *Endpoint) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, hgendpoint.Status{
		Running: e.running, CacheShare: e.cache.share(), Draining: e.fault.Draining || e.fault.Leaving,
	})
}
