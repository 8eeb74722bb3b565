package hgsite

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"hyssopgrade/internal/serve/hgattempt"
	hgplatform "hyssopgrade/platform"
)

// Request is a caller's request to an entry VM.
type Request struct {
	hgattempt.Attempt
	Method, Path, Body string
	// Header holds headers beside those that encode the attempt.
	Header http.Header
	// NewConn sends the request on a connection of its own; SendOnce keeps the client from sending it again by itself when its
	// connection closes.
	NewConn, SendOnce bool
	// Via sends the request through a transport with connections of its own; nil is the one that all requests share.
	Via *http.Transport
}

// Reply is the answer that a caller received.
type Reply struct {
	Status int
	Header http.Header
	Body   string
	// Events holds the data of a stream's events, and IDs their identifiers.
	Events, IDs []string
	// Complete reports whether the body was read to its end without an error.
	Complete bool
	// Closes reports whether the answer announced the end of its connection.
	Closes bool
	Took   time.Duration
}

// RetryAfter returns the time after which the VM asks the caller to come back; 0 if it names none.
func (r Reply) RetryAfter() time.Duration {
	d, err := time.ParseDuration(r.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return d
}

var callerTransport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}

// NewAttempt returns a unique attempt identifier.
func NewAttempt() string { return strings.ReplaceAll(uuid.NewString(), "-", "")[:16] }

// Call sends a request to an entry VM and reads its whole answer. A request without an identifier gets a new one.
func (s *Site) Call(ctx context.Context, node int, q Request) (reply Reply, err error) {
	if q.ID == "" {
		q.ID = NewAttempt()
	}
	if q.Method == "" {
		q.Method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+s.Configs[node].Listen.Public+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return reply, err
	}
	r.Host = Host
	for name, values := range q.Header {
		r.Header[name] = values
	}
	hgplatform.EncodeAttempt(r.Header, q.Attempt)
	if q.SendOnce {
		r.Body, r.GetBody = io.NopCloser(r.Body), nil // net/http repeats a request only if it can read the body again
	}
	transport := callerTransport
	if q.Via != nil {
		transport = q.Via
	}
	if q.NewConn {
		transport = transport.Clone()
		defer transport.CloseIdleConnections()
	}
	began := time.Now()
	w, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return reply, err
	}
	defer w.Body.Close()
	body, readErr := io.ReadAll(w.Body)
	reply = Reply{Status: w.StatusCode, Header: w.Header, Body: string(body), Complete: readErr == nil, Closes: w.Close, Took: time.Since(began)}
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			reply.Events = append(reply.Events, data)
		}
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			reply.IDs = append(reply.IDs, id)
		}
	}
	return reply, nil
}

// Turn returns a turn of a program below a route's path. Its budget of 100,000 tokens is more than most tests use up.
func Turn(path, program, previous, body string) Request {
	return Request{Path: path + "turn", Body: body, Attempt: hgattempt.Attempt{
		ID: NewAttempt(), Program: program, Session: program, Previous: previous, Budget: 100_000, HasBudget: true,
		TokensIn: len(body), MaxTokensOut: 2 * Events * TokensPerEvent, Deadline: 4 * time.Second,
		Prefix: []hgattempt.Part{{ID: "shared", Tokens: 100}, {ID: fmt.Sprint("s", program), Tokens: len(body)}},
	}}
}
