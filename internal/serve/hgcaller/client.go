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
)

// Client calls a system; it is safe for concurrent use.
type Client struct {
	nodes []string
	http  *http.Client
	// key is the operators' key, if any.
	key string

	mu    sync.Mutex
	known map[string]located
}

type located struct {
	addresses []string
	until     time.Time
}

// NewClient returns a client that knows some nodes' public addresses.
func NewClient(nodes ...string) *Client {
	return &Client{
		nodes: nodes, known: map[string]located{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
}

// NewOperator returns a client that presents the operators' key to some nodes.
func NewOperator(key string, nodes ...string) *Client {
	c := NewClient(nodes...)
	c.key = key
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Answer is the whole answer to a call.
type Answer struct {
	State hgcall.State
	Body  []byte
	// Tries is the number of times that the call was sent.
	Tries int
}

// retryPause is the wait after a connection that failed.
const retryPause = 100 * time.Millisecond

// Call sends a call until it has a final answer or its deadline passes. The error is a *hgcall.Refusal;
// when the deadline passes without a final answer it is of kind unknown.
func (c *Client) Call(ctx context.Context, call hgcall.Call) (a Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, call.Deadline)
	defer cancel()
	deadline, _ := ctx.Deadline()
	for try := 0; ; try++ {
		a, err = c.send(ctx, c.address(ctx, call.Program, try), call.WithDeadline(time.Until(deadline)))
		a.Tries = try + 1
		wait, again := askAgain(err)
		if !again {
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, hgcall.NewRefusal(hgcall.KindUnknown, hgcall.ReasonNoAnswer, 0, "no final answer within the deadline: %v", err)
		case <-time.After(wait):
		}
	}
}

// askAgain tells whether the same request should be sent again, and when.
func askAgain(err error) (wait time.Duration, again bool) {
	if err == nil {
		return 0, false
	}
	r, ok := err.(*hgcall.Refusal)
	if !ok {
		return retryPause, true
	}
	switch r.Kind {
	case hgcall.KindRunning, hgcall.KindUnavailable:
		return r.RetryAfter, true
	}
	return 0, false
}

// address returns the address to use for a program; later tries go through the others.
func (c *Client) address(ctx context.Context, program string, try int) string {
	root := hgcall.Root(program)
	c.mu.Lock()
	l, ok := c.known[root]
	c.mu.Unlock()
	if !ok || time.Now().After(l.until) || try > 0 && try%len(l.addresses) == 0 {
		l = c.locate(ctx, root)
	}
	return l.addresses[try%len(l.addresses)]
}

// locate asks the known nodes, one after the other, for the addresses to use.
func (c *Client) locate(ctx context.Context, root string) located {
	l := located{addresses: c.nodes}
	for _, node := range c.nodes {
		var loc hgfront.Location
		err := c.Get(ctx, node, "/v1/locate?program="+url.QueryEscape(root), &loc)
		if err == nil && len(loc.Addresses) > 0 {
			l = located{addresses: loc.Addresses, until: time.Now().Add(time.Duration(loc.TTLMs) * time.Millisecond)}
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[root] = l
	return l
}

// Forget drops what is known of a program's addresses.
func (c *Client) Forget(program string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.known, hgcall.Root(program))
}

// Get reads a JSON document from a node.
func (c *Client) Get(ctx context.Context, node, path string, v any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	return c.exchange(ctx, http.MethodGet, node, path, nil, v)
}

// Post sends a JSON document to a node and reads one.
func (c *Client) Post(ctx context.Context, node, path string, body, v any) (err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.exchange(ctx, http.MethodPost, node, path, data, v)
}

// getTimeout bounds the reading of a document.
const getTimeout = 2 * time.Second

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

// statusError returns the refusal in an error's body, or an error with the status.
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

func refusal(d hgfront.ErrorDetail) *hgcall.Refusal {
	return &hgcall.Refusal{
		Kind: d.Type, Reason: d.Code, Field: d.Param, Detail: d.Message, RetryAfter: time.Duration(d.RetryAfterMs) * time.Millisecond,
	}
}

// End ends a program; an end that failed is asked for again until ctx ends.
func (c *Client) End(ctx context.Context, program string) (err error) {
	for try := 0; ; try++ {
		err = c.Post(ctx, c.address(ctx, program, try), "/v1/programs/end", map[string]string{"program": program}, &hgfront.Ended{})
		wait, again := askAgain(err)
		if !again {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(max(wait, retryPause)):
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

// maxSilence is the time without a byte after which a node counts as gone; asking another one is safe,
// as copies of a request carry its identifier.
const maxSilence = 4 * time.Second

// watched puts the end of a silent connection off with each read.
type watched struct {
	io.ReadCloser
	silent *time.Timer
}

// Read reads and restarts the time of silence.
func (w *watched) Read(p []byte) (n int, err error) {
	n, err = w.ReadCloser.Read(p)
	w.silent.Reset(maxSilence)
	return n, err
}

// send sends a call once; an error other than a *hgcall.Refusal says nothing about what became of it.
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
	silent := time.AfterFunc(maxSilence, cancel)
	defer silent.Stop()
	w, err := c.http.Do(r)
	if err != nil {
		return a, err
	}
	defer w.Body.Close()
	w.Body = &watched{ReadCloser: w.Body, silent: silent}
	if w.Header.Get("Content-Type") == "text/event-stream" {
		return readStream(w.Body, call)
	}
	return readWhole(w, call)
}

func readWhole(w *http.Response, call hgcall.Call) (a Answer, err error) {
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
		return a, fmt.Errorf("answer to request %q has digest %s instead of %s", call.Request, r.Digest(), got)
	}
	return Answer{State: state, Body: data}, nil
}
