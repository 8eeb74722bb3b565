package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// host is the name under which consumers reach the system.
const host = "site.example"

// request is a consumer's request.
type request struct {
	id, path, method string
	body             []byte
	program, session string
	previous         string
	budget, in, out  int
	lastEvent        string
	deadline         time.Duration
	// aim is the time until the program should be finished; 0 leaves it out.
	aim time.Duration
}

// answer is what the consumer got.
type answer struct {
	status     int
	retryAfter time.Duration
	header     http.Header
	// events holds the data of the events, and whole says that the body came to its end.
	events []string
	body   []byte
	whole  bool
	err    error
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// call sends a request on a new channel and reads the answer.
func call(ctx context.Context, address string, q request) (a answer) {
	if q.method == "" {
		q.method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(ctx, q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, bytes.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	set := func(name, value string) {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	set("X-Attempt-Id", q.id)
	set("X-Program-Id", q.program)
	set("X-Session-Id", q.session)
	set("X-Previous-Turn", q.previous)
	set("Last-Event-Id", q.lastEvent)
	set("X-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.aim > 0 {
		set("X-Program-Deadline-Ms", strconv.FormatInt(q.aim.Milliseconds(), 10))
	}
	if q.budget > 0 {
		set("X-Token-Budget", strconv.Itoa(q.budget))
	}
	if q.out > 0 {
		set("X-Token-Usage", strconv.Itoa(q.in)+","+strconv.Itoa(q.out))
		set("X-Model", "m")
	}
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	w, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer w.Body.Close()
	a = answer{status: w.StatusCode, header: w.Header}
	if s, err := strconv.ParseFloat(w.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	a.body, a.err = io.ReadAll(w.Body)
	a.whole = a.err == nil
	for event := range strings.SplitSeq(string(a.body), "\n\n") {
		for line := range strings.SplitSeq(event, "\n") {
			if data, ok := strings.CutPrefix(line, "data: "); ok {
				a.events = append(a.events, data)
			}
		}
	}
	return a
}
