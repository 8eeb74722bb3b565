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

// Fault describes how an endpoint misbehaves; it is the body of POST /fault.
type Fault struct {
	// Hang leaves requests without an answer until the client closes the connection.
	Hang bool `json:"hang"`
	// SlowMs delays each answer, in milliseconds.
	SlowMs int `json:"slowMs"`
	// LoseReplies is the number of upcoming tool calls that take effect, but whose connection is closed before the answer.
	LoseReplies int `json:"loseReplies"`
	// CutPieces is the number of upcoming model answers whose connection is closed after the first part.
	CutPieces int `json:"cutPieces"`
	// Crossed is the number of upcoming answers that carry another request's identifier.
	Crossed int `json:"crossed"`
	// CrashOn is a text: a request whose content contains it crashes the endpoint. Empty disables it.
	CrashOn string `json:"crashOn"`
	// RestartMs is the time from a crash until the endpoint listens again, in milliseconds.
	RestartMs int `json:"restartMs"`
	// Leaving reports the endpoint as draining in the load report, but still accepts requests.
	Leaving bool `json:"leaving"`
	// Draining refuses new requests with status 503 and reports the endpoint as draining in the load report.
	Draining bool `json:"draining"`
	// HideOutcomes answers queries for the outcome of a request with status 404.
	HideOutcomes bool `json:"hideOutcomes"`
}

// Execution is the record of one request that an endpoint accepted, from GET /record.
type Execution struct {
	Request   string `json:"request"`
	Program   string `json:"program"`
	Operation string `json:"operation"`
	Fence     string `json:"fence"`
	// StartUs and EndUs are wall-clock times, in microseconds since 1970; EndUs is 0 while the request runs.
	StartUs int64 `json:"startUs"`
	EndUs   int64 `json:"endUs"`
	// Tokens is the number of tokens generated; 0 for tool calls.
	Tokens uint64 `json:"tokens"`
}

// Options configures an Endpoint.
type Options struct {
	// TokenTime is the time per generated token.
	TokenTime time.Duration
	// PrefillTime is the time per prompt token that is not cached.
	PrefillTime time.Duration
	// CacheTokens is the capacity of the prefix cache, in tokens.
	CacheTokens int
	// ChecksFencing refuses requests whose fencing number is missing or older than the newest seen of its shard.
	ChecksFencing bool
}

// Endpoint is a stand-in for a model engine and a tool service on one address.
type Endpoint struct {
	*Server
	opts Options

	mu         sync.Mutex
	fault      Fault
	executions []*Execution
	outcomes   map[string]hgendpoint.ToolResult
	fences     map[string]uint64
	running    int
	crashes    int
	cache      *cache
}

// NewEndpoint starts an endpoint at the address. Port 0 selects a free port, see Server.Address.
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
	mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Executions()) })
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

// SetFault replaces the current fault; the zero Fault ends all misbehaviour.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Executions returns copies of the records of all requests so far, in the order of their start.
func (e *Endpoint) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Execution, len(e.executions))
	for i, x := range e.executions {
		list[i] = *x
	}
	return list
}

// Crashes returns the number of crashes caused by Fault.CrashOn.
func (e *Endpoint) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Waste holds the number of tokens written into a prefix cache and how many of them were never reused.
type Waste struct {
	Written uint64 `json:"written"`
	Unused  uint64 `json:"unused"`
}

// Waste returns the counters of the prefix cache since the endpoint started or last crashed.
func (e *Endpoint) Waste() Waste {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.waste()
}

// begin refuses a request if the endpoint drains or its fencing number is old. Otherwise it records an execution and applies the
// faults that crash, hang or delay. If ok is false, the request is over: it was refused, or the client is gone.
func (e *Endpoint) begin(w http.ResponseWriter, r *http.Request, operation, content string) (x *Execution, ok bool) {
	e.mu.Lock()
	f := e.fault
	fence := r.Header.Get(hgendpoint.HeaderFence)
	request := r.Header.Get(hgendpoint.HeaderRequest)
	switch {
	case f.Draining:
		e.mu.Unlock()
		w.Header().Set(hgendpoint.HeaderRequest, request)
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return nil, false
	case e.opts.ChecksFencing && !e.checkFence(fence):
		e.mu.Unlock()
		w.Header().Set(hgendpoint.HeaderRequest, request)
		http.Error(w, "old fencing number "+fence, http.StatusPreconditionFailed)
		return nil, false
	}
	x = &Execution{
		Request: request, Program: r.Header.Get(hgendpoint.HeaderProgram),
		Operation: operation, Fence: fence, StartUs: time.Now().UnixMicro(),
	}
	e.executions = append(e.executions, x)
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
	if !applyDelay(r.Context(), f) {
		e.end(x, 0)
		return nil, false
	}
	return x, true
}

// checkFence reports whether a fencing number SHARD:EPOCH is at least the highest seen of its shard, and keeps the highest.
// e.mu must be held.
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

// applyDelay applies the faults Hang and SlowMs to a request. It returns false if the client is gone.
func applyDelay(ctx context.Context, f Fault) bool {
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

// consumeFault decrements a counter of the current fault. It returns false if the counter was 0 already.
func (e *Endpoint) consumeFault(count func(f *Fault) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := count(&e.fault)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func crossedCount(f *Fault) *int { return &f.Crossed }

// setRequestID sets the answer's header with the request identifier, or with a wrong one under the fault Crossed.
func (e *Endpoint) setRequestID(w http.ResponseWriter, request string) {
	if e.consumeFault(crossedCount) {
		request = "another-" + request
	}
	w.Header().Set(hgendpoint.HeaderRequest, request)
}

// call executes a tool call. The call's effect is its record, which is written before any answer.
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
	simulateWork(r.Context(), body)
	answer := hgendpoint.ToolResult{Status: http.StatusOK, Body: fmt.Appendf(nil, `{"operation":%q,"request":%q}`, op, x.Request)}
	e.end(x, 0)
	e.mu.Lock()
	e.outcomes[x.Request] = answer
	e.mu.Unlock()
	if e.consumeFault(func(f *Fault) *int { return &f.LoseReplies }) {
		panic(http.ErrAbortHandler)
	}
	e.setRequestID(w, x.Request)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer.Body)
}

// simulateWork waits for the durationMs in a tool call's body, if the body begins with it.
func simulateWork(ctx context.Context, body []byte) {
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

// seen reports whether an execution of the request was recorded. e.mu must be held.
func (e *Endpoint) seen(request string) bool {
	return slices.ContainsFunc(e.executions, func(x *Execution) bool { return x.Request == request })
}

func (e *Endpoint) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, hgendpoint.Status{
		Running: e.running, CacheShare: e.cache.usedShare(), Draining: e.fault.Draining || e.fault.Leaving,
	})
}
