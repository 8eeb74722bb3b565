package hgcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"hyssopgrade/hgcall"
	"hyssopgrade/internal/operate/hgkey"
	"hyssopgrade/internal/serve/hgfront"
	"hyssopgrade/internal/serve/hgtransport"
)

// Client sends calls and operators' requests to the nodes of a cell; it is safe for concurrent use.
type Client struct {
	nodes []string
	http  *http.Client
	// key is the operators' key, or empty.
	key string

	mu sync.Mutex
	// locations caches the answers of /v1/locate by root program.
	locations map[string]location
}

// location is a cached answer of /v1/locate.
type location struct {
	addresses []string
	expires   time.Time
}

// NewClient returns a client for callers. It needs the public address of at least one node; more let it locate programs
// while some nodes are down.
func NewClient(nodes ...string) *Client {
	return &Client{
		nodes: nodes, locations: map[string]location{},
		http: &http.Client{Transport: hgtransport.New(&http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true})},
	}
}

// NewOperator returns a client that sends the operators' key with all requests but calls.
func NewOperator(key string, nodes ...string) *Client {
	c := NewClient(nodes...)
	c.key = key
	return c
}

// Close closes idle connections; calls in progress are not affected.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Answer is the complete answer to a call.
type Answer struct {
	State hgcall.State
	Body  []byte
	// Tries is the number of attempts to send the call.
	Tries int
}

// retryDelay is the time before a retry after a connection failed.
const retryDelay = 100 * time.Millisecond

// Call sends a call, and retries it under the same identifier, until it gets a final answer or the call's deadline passes. The
// error is a *hgcall.Refusal; its kind is unknown if the deadline passed without a final answer.
func (c *Client) Call(ctx context.Context, call hgcall.Call) (a Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, call.Deadline)
	defer cancel()
	deadline, _ := ctx.Deadline()
	for try := 0; ; try++ {
		a, err = c.send(ctx, c.address(ctx, call.Program, try), call.WithDeadline(time.Until(deadline)))
		a.Tries = try + 1
		wait, retry := shouldRetry(err)
		if !retry {
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, hgcall.NewRefusal(hgcall.KindUnknown, hgcall.ReasonNoAnswer, 0, "no final answer within the deadline: %v", err)
		case <-time.After(wait):
		}
	}
}

// shouldRetry reports whether the same request should be sent again, and after which delay. An error other than a refusal
// leaves the outcome open.
func shouldRetry(err error) (wait time.Duration, retry bool) {
	if err == nil {
		return 0, false
	}
	r, ok := err.(*hgcall.Refusal)
	if !ok {
		return retryDelay, true
	}
	switch r.Kind {
	case hgcall.KindRunning, hgcall.KindUnavailable:
		return r.RetryAfter, true
	}
	return 0, false
}

// address returns the address for an attempt: the best one for the first, the others in turn for retries. The program is
// located again when the cached addresses have expired or all of them were tried.
func (c *Client) address(ctx context.Context, program string, try int) string {
	root := hgcall.Root(program)
	c.mu.Lock()
	l, ok := c.locations[root]
	c.mu.Unlock()
	if !ok || time.Now().After(l.expires) || try > 0 && try%len(l.addresses) == 0 {
		l = c.locate(ctx, root)
	}
	return l.addresses[try%len(l.addresses)]
}

// locate asks the client's nodes, one after the other, for the addresses to use. If none answers it returns the nodes
// themselves, as a location that has already expired.
func (c *Client) locate(ctx context.Context, root string) location {
	l := location{addresses: c.nodes}
	for _, node := range c.nodes {
		var loc hgfront.Location
		err := c.Get(ctx, node, "/v1/locate?program="+url.QueryEscape(root), &loc)
		if err == nil && len(loc.Addresses) > 0 {
			l = location{addresses: loc.Addresses, expires: time.Now().Add(time.Duration(loc.TTLMs) * time.Millisecond)}
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.locations[root] = l
	return l
}

// Forget removes the cached addresses of a program, so that its next call locates it again.
func (c *Client) Forget(program string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.locations, hgcall.Root(program))
}

// Get reads a JSON document from a node within getTimeout.
func (c *Client) Get(ctx context.Context, node, path string, v any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	return c.exchange(ctx, http.MethodGet, node, path, nil, v)
}

// Post sends a JSON document to a node and decodes the one in the response into v.
func (c *Client) Post(ctx context.Context, node, path string, body, v any) (err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.exchange(ctx, http.MethodPost, node, path, data, v)
}

// getTimeout bounds a GET request for a JSON document.
const getTimeout = 2 * time.Second

// exchange sends one HTTP request with the operators' key, if there is one, and decodes the JSON response into v.
func (c *Client) exchange(ctx context.Context, method, node, path string, data []byte, v any) (err error) {
	defer func() { err = trace.Wrap(err, "%s %s%s", method, node, path) }()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+node+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		hgkey.Set(r.Header, c.key)
	}
	w, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	body, err := io.ReadAll(w.Body)
	if err != nil {
		return err
	}
	if w.StatusCode != http.StatusOK {
		return statusError(w.StatusCode, body)
	}
	return json.Unmarshal(body, v)
}

// statusError returns the refusal in the body of an error response, a trace.CompareFailed error for a 409 without one, or an
// error with the status.
func statusError(status int, body []byte) error {
	var e hgfront.ErrorBody
	if json.Unmarshal(body, &e) == nil && e.Error.Type != "" {
		return refusal(e.Error)
	}
	if status == http.StatusConflict {
		return trace.CompareFailed("%s", body)
	}
	return trace.BadParameter("status %d: %s", status, body)
}

// refusal is the inverse of the encoding of refusals in hgfront.
func refusal(d hgfront.ErrorDetail) *hgcall.Refusal {
	return &hgcall.Refusal{
		Kind: d.Type, Reason: d.Code, Field: d.Param, Detail: d.Message, RetryAfter: time.Duration(d.RetryAfterMs) * time.Millisecond,
	}
}

// End ends a program. A failed attempt is retried until ctx ends, unless its refusal is final.
func (c *Client) End(ctx context.Context, program string) (err error) {
	for try := 0; ; try++ {
		err = c.Post(ctx, c.address(ctx, program, try), "/v1/programs/end", map[string]string{"program": program}, &hgfront.Ended{})
		wait, retry := shouldRetry(err)
		if !retry {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(max(wait, retryDelay)):
		}
	}
}

func headers(call hgcall.Call) http.Header {
	h := http.Header{}
	h.Set("Content-Type", "application/json")
	h.Set("Hg-Program", call.Program)
	h.Set("Hg-Seq", strconv.FormatUint(call.Seq, 10))
	h.Set("Hg-Request", call.Request)
	h.Set("Hg-Deadline-Ms", strconv.FormatInt(max(call.Deadline.Milliseconds(), 1), 10))
	if call.Budget > 0 {
		h.Set("Hg-Budget", strconv.FormatUint(call.Budget, 10))
	}
	if call.Idempotent {
		h.Set("Hg-Idempotent", "true")
	}
	return h
}

// idleTimeout is the time without a byte from a node after which its connection counts as failed. A retry at another node is
// safe, as it carries the same request identifier.
const idleTimeout = 4 * time.Second

// idleTimeoutBody is a response body that restarts the idle timeout of its connection with each read.
type idleTimeoutBody struct {
	io.ReadCloser
	timer *time.Timer
}

// Read reads from the body and restarts the idle timeout.
func (w *idleTimeoutBody) Read(p []byte) (n int, err error) {
	n, err = w.ReadCloser.Read(p)
	w.timer.Reset(idleTimeout)
	return n, err
}

// send sends a call once; after an error other than a *hgcall.Refusal the outcome of the call is not known.
func (c *Client) send(ctx context.Context, address string, call hgcall.Call) (a Answer, err error) {
	path, body := "/v1/tools/"+call.Target, call.Body
	if call.Kind == hgcall.Model {
		path = "/v1/chat/completions"
		body, err = json.Marshal(map[string]any{"model": call.Target, "messages": call.Messages, "max_tokens": call.MaxTokens, "stream": true})
		if err != nil {
			return a, err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return a, err
	}
	r.Header = headers(call)
	timer := time.AfterFunc(idleTimeout, cancel)
	defer timer.Stop()
	w, err := c.http.Do(r)
	if err != nil {
		return a, err
	}
	defer w.Body.Close()
	w.Body = &idleTimeoutBody{ReadCloser: w.Body, timer: timer}
	if w.Header.Get("Content-Type") == "text/event-stream" {
		return readStream(w.Body, call)
	}
	return readAnswer(w, call)
}

// readAnswer reads an answer that is not streamed and checks it against its digest.
func readAnswer(w *http.Response, call hgcall.Call) (a Answer, err error) {
	data, err := io.ReadAll(w.Body)
	if err != nil {
		return a, err
	}
	state := hgcall.State(w.Header.Get("Hg-State"))
	if state != hgcall.Done && state != hgcall.Failed {
		return a, statusError(w.StatusCode, data)
	}
	r := hgcall.Result{Answer: data}
	if got := w.Header.Get("Hg-Digest"); got != r.Digest() {
		return a, fmt.Errorf("answer to request %q has digest %s, want %s", call.Request, r.Digest(), got)
	}
	return Answer{State: state, Body: data}, nil
}
