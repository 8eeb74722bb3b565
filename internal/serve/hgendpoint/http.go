package hgendpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"hyssopgrade/internal/serve/hgtransport"
)

// Headers of a request to an endpoint: its identifier, which the endpoint repeats in its answer, its program, and the fencing number
// as "shard:epoch".
const (
	HeaderRequest = "X-Request-Id"
	HeaderProgram = "Hg-Program-Id"
	HeaderFence   = "X-Fencing-Number"
)

const (
	// maxAnswerBytes bounds the answer of a tool and the text of a model, and maxEventBytes an event of a model's stream.
	maxAnswerBytes = 16 << 20
	maxEventBytes  = 256 << 10
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
)

// HTTP is an Endpoint reached over HTTP.
type HTTP struct {
	name string
	base string
	// client reuses connections; it is for idempotent requests.
	client *http.Client
	// unpooled opens a connection for each request, so that net/http never sends the request a second time and no answer belongs to an
	// earlier request.
	unpooled *http.Client
	memory   *Memory
}

// NewHTTP returns a client of the endpoint at address, such as 127.0.0.1:7500; name is used in errors. The answers of all clients with the
// same memory share it.
func NewHTTP(name, address string, m *Memory) *HTTP {
	return newHTTP(name, address, m, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

func newHTTP(name, address string, m *Memory, dial hgtransport.Dial) *HTTP {
	client := func(t *http.Transport) *http.Client {
		t.DialContext, t.MaxResponseHeaderBytes = dial, maxHeaderBytes
		return &http.Client{Transport: hgtransport.New(t), CheckRedirect: noRedirect}
	}
	return &HTTP{
		name:   name,
		base:   "http://" + address,
		memory: m,
		client: client(&http.Transport{MaxIdleConnsPerHost: 64}),
		// The transport of net/http resends some requests when a reused connection turns out to be closed; without
		// keep-alive no connection is reused.
		unpooled: client(&http.Transport{DisableKeepAlives: true}),
	}
}

// dialTimeout bounds the opening of a TCP connection to an endpoint.
const dialTimeout = time.Second

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

type chatBody struct {
	Model         string         `json:"model"`
	Messages      any            `json:"messages"`
	MaxTokens     uint64         `json:"max_tokens"`
	Stream        bool           `json:"stream"`
	StreamOptions map[string]any `json:"stream_options"`
}

type chatChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     uint64 `json:"prompt_tokens"`
		CompletionTokens uint64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens uint64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// Chat runs a model call over the chat-completions protocol with streaming.
func (h *HTTP) Chat(ctx context.Context, r ChatRequest, onText func(text string)) (c ChatResult, err error) {
	body, err := json.Marshal(chatBody{
		Model: r.Model, Messages: r.Messages, MaxTokens: r.MaxTokens, Stream: true,
		StreamOptions: map[string]any{"include_usage": true},
	})
	if err != nil {
		return c, &Error{Err: err}
	}
	start := time.Now()
	w, err := h.post(ctx, h.unpooled, "/v1/chat/completions", body, r.Request, r.Program, r.Fence)
	if err != nil {
		return c, err
	}
	defer w.Body.Close()
	if err := w.checkStatus(r.Request); err != nil {
		return c, err
	}
	if w.StatusCode != http.StatusOK {
		return c, &Error{Sent: true, Err: fmt.Errorf("model call answered with status %d", w.StatusCode)}
	}
	held := h.memory.open()
	defer held.close()
	c, err = readStream(w.Body, held, start, r.Request, w.Header.Get(HeaderRequest), onText)
	c.Total = time.Since(start)
	return c, err
}

// readStream reads the events of a streamed answer, whose text is charged to held. It returns an *Error if the stream is truncated, or if
// got, the identifier in the answer's header, is not that of the request.
func readStream(body io.Reader, held *charge, start time.Time, want, got string, onText func(text string)) (c ChatResult, err error) {
	if got != want {
		return c, &Error{Sent: true, Err: fmt.Errorf("answer is for request %q, want %q", got, want)}
	}
	var text strings.Builder
	finished := false
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxEventBytes)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return endOfStream(c, text.String(), finished)
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return c, &Error{Sent: true, Err: err}
		}
		for _, ch := range chunk.Choices {
			if ch.Delta.Content != "" && c.FirstToken == 0 {
				c.FirstToken = time.Since(start)
			}
			if err := held.add(len(ch.Delta.Content)); err != nil {
				return c, &Error{Sent: true, Err: err}
			}
			text.WriteString(ch.Delta.Content)
			onText(ch.Delta.Content)
			finished = finished || ch.FinishReason != nil
		}
		if u := chunk.Usage; u != nil {
			c.PromptTokens, c.CachedTokens, c.OutputTokens = u.PromptTokens, u.Details.CachedTokens, u.CompletionTokens
		}
	}
	return c, &Error{Sent: true, Cut: !isGivenUp(sc.Err()), Err: fmt.Errorf("answer stream truncated after %d bytes: %v", text.Len(), sc.Err())}
}

// endOfStream returns the result of a stream that was read up to [DONE]; without a finish reason the answer is incomplete.
func endOfStream(c ChatResult, text string, finished bool) (ChatResult, error) {
	if !finished {
		return c, &Error{Sent: true, Err: errors.New("answer stream ended without a finish reason")}
	}
	c.Text = text
	return c, nil
}

// Call runs a tool call. A call that is not idempotent is sent on a new connection, on which net/http cannot resend it.
func (h *HTTP) Call(ctx context.Context, r ToolRequest) (t ToolResult, err error) {
	client := h.unpooled
	if r.Idempotent {
		client = h.client
	}
	w, err := h.post(ctx, client, "/call/"+url.PathEscape(r.Operation), r.Body, r.Request, r.Program, r.Fence)
	if err != nil {
		return t, err
	}
	defer w.Body.Close()
	if err := w.checkStatus(r.Request); err != nil {
		return t, err
	}
	if got := w.Header.Get(HeaderRequest); got != r.Request {
		return t, &Error{Sent: true, Err: fmt.Errorf("answer is for request %q, want %q", got, r.Request)}
	}
	held := h.memory.open()
	defer held.close()
	data, err := io.ReadAll(chargedReader{w.Body, held})
	if err != nil {
		return t, &Error{Sent: true, Cut: !isGivenUp(err), Err: err}
	}
	return ToolResult{Status: w.StatusCode, Body: data}, nil
}

// answer is an endpoint's answer to a request.
type answer struct{ *http.Response }

// post sends a request at most once: without GetBody the transport cannot rewind the body to resend the request.
func (h *HTTP) post(ctx context.Context, client *http.Client, path string, body []byte, request, program string, f Fence) (a *answer, err error) {
	a = &answer{}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Err: err}
	}
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(HeaderRequest, request)
	r.Header.Set(HeaderProgram, program)
	r.Header.Set(HeaderFence, f.String())
	a.Response, err = client.Do(r)
	if err == nil {
		return a, nil
	}
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	return nil, &Error{Sent: !dialFailed, Cut: ctx.Err() == nil, Err: err}
}

// checkStatus returns an *Error for 1xx, for 412 and for every 5xx but 500. By 503 (draining) and 412 (newer fencing number seen) the
// endpoint says that it did not run the request; after the others it may have run it. A 500 is an answer of the tool.
func (a *answer) checkStatus(request string) (err error) {
	if a.StatusCode < http.StatusOK {
		// After 101 the body is the connection itself, which does not end with the request's context.
		return &Error{Sent: true, Err: fmt.Errorf("endpoint answered request %q with status %d", request, a.StatusCode)}
	}
	if a.StatusCode < http.StatusInternalServerError && a.StatusCode != http.StatusPreconditionFailed {
		return nil
	}
	if a.StatusCode == http.StatusInternalServerError {
		return nil
	}
	data, _ := io.ReadAll(io.LimitReader(a.Body, 1<<10))
	answers := a.answers(request)
	e := &Error{
		Draining: answers && a.StatusCode == http.StatusServiceUnavailable,
		Fenced:   answers && a.StatusCode == http.StatusPreconditionFailed,
		Err:      fmt.Errorf("endpoint answered with status %d for request %q, want %q: %s", a.StatusCode, a.Header.Get(HeaderRequest), request, data),
	}
	e.Sent = !e.Draining && !e.Fenced
	return e
}

// answers reports whether a refusal is surely for the request. One that names no request may have been written for any other.
func (a *answer) answers(request string) bool { return a.Header.Get(HeaderRequest) == request }

// Order sends a command about a program's cached prefix to an engine.
func (h *HTTP) Order(ctx context.Context, o Order) (err error) {
	defer func() {
		err = trace.Wrap(err, "send order %s for program %q to endpoint %s", o.Action, o.Program, h.name)
	}()
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	w, err := h.post(ctx, h.client, "/orders/prefix", body, "", o.Program, o.Fence)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		return trace.BadParameter("endpoint answered with status %d", w.StatusCode)
	}
	return nil
}

// Status returns the endpoint's current load report.
func (h *HTTP) Status(ctx context.Context) (s Status, err error) {
	return s, h.get(ctx, h.client, "/load", &s)
}

// Outcome returns what the endpoint knows of a tool request, or a trace.NotFound error if it keeps no outcomes. The answer names no
// request, so that it has to be the first one of a connection.
func (h *HTTP) Outcome(ctx context.Context, request string, f Fence) (o Outcome, err error) {
	q := url.Values{"request": {request}, "fence": {f.String()}}
	return o, h.get(ctx, h.unpooled, "/outcome?"+q.Encode(), &o)
}

// Programs returns the number of cached tokens of each program that holds engine memory.
func (h *HTTP) Programs(ctx context.Context) (tokens map[string]int, err error) {
	return tokens, h.get(ctx, h.client, "/cache/programs", &tokens)
}

// get reads a JSON document; a 404 becomes a trace.NotFound error, any other status but 200 a trace.ConnectionProblem.
func (h *HTTP) get(ctx context.Context, client *http.Client, path string, out any) (err error) {
	defer func() { err = trace.Wrap(err, "endpoint %s %s", h.name, path) }()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+path, nil)
	if err != nil {
		return err
	}
	w, err := client.Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	if w.StatusCode == http.StatusNotFound {
		return trace.NotFound("%s", path)
	}
	if w.StatusCode != http.StatusOK {
		return trace.ConnectionProblem(nil, "endpoint answered with status %d", w.StatusCode)
	}
	held := h.memory.open()
	defer held.close()
	return json.NewDecoder(chargedReader{w.Body, held}).Decode(out)
}

// String returns the endpoint's name.
func (h *HTTP) String() string { return h.name }
