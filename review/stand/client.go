package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// host is the only host of the cases.
const host = "permits.example"

// request is a consumer's request.
type request struct {
	method, path, body string
	header             map[string]string
	deadline           time.Duration
}

// answer is what a consumer got for one attempt.
type answer struct {
	attempt string
	status  int
	// events is the number of whole events, and complete says that the body came to its end.
	events   int
	complete bool
	sealed   bool
	// closes says that the channel is not to be used again.
	closes     bool
	retryAfter time.Duration
	err        error
}

// isPromise reports whether the answer promises that the request has not run and never will.
func (a answer) isPromise() bool {
	return a.err == nil && slices.Contains([]int{402, 408, 421, 429, 503}, a.status)
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, %d events, complete %v, sealed %v", a.status, a.events, a.complete, a.sealed)
}

// newID returns a random identifier.
func newID() string {
	raw := make([]byte, 8)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}

func randomInt(n int) int {
	i, _ := rand.Int(rand.Reader, big.NewInt(int64(n)))
	return int(i.Int64())
}

// consumer is a stand-in for a client in a zone, which keeps the addresses of the directory as long as it may.
type consumer struct {
	site      *site
	zone      string
	addresses []string
	until     time.Time
	// keepsChannel says that the consumer uses its open channel for further requests while the directory lists its address.
	// channel and address are the open one and where it leads; channel is nil if there is none.
	keepsChannel bool
	channel      *http.Transport
	address      string
}

// resolve returns the addresses to connect to. It asks up to three machines, those of its zone first.
func (c *consumer) resolve() (addresses []string, err error) {
	if time.Now().Before(c.until) {
		return c.addresses, nil
	}
	machines := slices.Clone(c.site.vms)
	slices.SortStableFunc(machines, func(a, b *vm) int {
		rank := func(m *vm) int {
			if m.zone == c.zone {
				return 0
			}
			return 1
		}
		return rank(a) - rank(b)
	})
	client := http.Client{Timeout: time.Second}
	asked := 0
	for _, m := range machines {
		if m.removed || asked == 3 {
			continue
		}
		asked++
		q := url.Values{"name": {host}, "region": {"region"}, "zone": {c.zone}}
		r, err := client.Get("http://" + m.directory + "/v1/resolve?" + q.Encode())
		if err != nil {
			continue
		}
		var reply struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(r.Body).Decode(&reply)
		r.Body.Close()
		if err == nil && len(reply.Addresses) > 0 {
			c.addresses, c.until = reply.Addresses, time.Now().Add(time.Duration(min(reply.TTL, 5)*float64(time.Second)))
			return c.addresses, nil
		}
	}
	if len(c.addresses) > 0 {
		return c.addresses, nil
	}
	return nil, fmt.Errorf("no machine resolves the name")
}

// connect returns the kept channel if its address is still among the resolved ones, and otherwise a new one to any of them.
func (c *consumer) connect(addresses []string) (channel *http.Transport, address string) {
	if c.channel != nil && slices.Contains(addresses, c.address) {
		return c.channel, c.address
	}
	c.closeChannel()
	c.channel, c.address = &http.Transport{DisableCompression: true}, addresses[randomInt(len(addresses))]
	return c.channel, c.address
}

func (c *consumer) closeChannel() {
	if c.channel != nil {
		c.channel.CloseIdleConnections()
		c.channel = nil
	}
}

// attempt sends a request once, on a new channel unless the consumer keeps its own, to one of the resolved addresses.
func (c *consumer) attempt(q request) (a answer) {
	a.attempt = newID()
	addresses, err := c.resolve()
	if err != nil {
		a.err = err
		return a
	}
	channel, address := c.connect(addresses)
	defer func() {
		if !c.keepsChannel || a.err != nil || a.status != http.StatusOK || a.closes {
			c.closeChannel()
		}
	}()
	defer func() { c.site.rec.add("client %s %s%s via %s: %s", a.attempt, q.method, q.path, address, a) }()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host, r.GetBody = host, nil
	r.Header.Set("X-Attempt-Id", a.attempt)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	w, err := channel.RoundTrip(r)
	if err != nil {
		a.err = err
		return a
	}
	defer w.Body.Close()
	a.status, a.sealed, a.closes = w.StatusCode, w.Header.Get("X-Response-Seal") != "", w.Close
	if s, err := strconv.ParseFloat(w.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	body, err := io.ReadAll(w.Body)
	a.complete = err == nil
	lines := bufio.NewScanner(bytes.NewReader(body))
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			a.events++
		}
	}
	return a
}

// call sends a request and, after a promise that it has not run, again, within its deadline. It returns all attempts.
func (c *consumer) call(q request, retries int) (attempts []answer) {
	end := time.Now().Add(q.deadline)
	for {
		q.deadline = time.Until(end)
		a := c.attempt(q)
		attempts = append(attempts, a)
		left := time.Until(end)
		if !a.isPromise() || a.status == http.StatusPaymentRequired || retries == 0 || left < 100*time.Millisecond {
			return attempts
		}
		retries--
		time.Sleep(min(a.retryAfter, left/3))
	}
}

// program is a stand-in for an agent program.
type program struct {
	*consumer
	id     string
	budget int
	// most is the number of tokens that each turn asks for.
	most int
	// line is the number of tokens of the program's own line so far: inputs and outputs.
	line  int
	aim   time.Duration
	began time.Time
}

func newProgram(c *consumer, budget, most int, aim time.Duration) *program {
	return &program{consumer: c, id: newID(), budget: budget, most: most, aim: aim, began: time.Now()}
}

// turnOutcome is how a turn of a program ended, over all its attempts.
type turnOutcome struct {
	attempts []answer
	last     answer
	ok       bool
}

// turnRetries is the number of times that a client retries a turn's request, and turnResends how often a program sends a
// failed turn again.
const (
	turnRetries = 1
	turnResends = 2
	// sharedTokens is the part of the prompt that all programs share.
	sharedTokens = 512
)

// turn runs a turn of a line of turns, which continues a previous one unless that is empty. A failed turn is sent again from its
// start, at most twice. A 400, 401, 402, 403, 404 or 413 ends it at once.
func (p *program) turn(path, session, previous, input string) (t turnOutcome) {
	for resends := 0; ; resends++ {
		// The prompt of a line begins with what all share; that of a sub-agent goes on with the prompt of its parent.
		prefix, tokens := fmt.Sprintf("5c1e07a2:%d", sharedTokens), sharedTokens
		own := 1 + len(input)/2
		switch {
		case session == p.id:
			own += p.line
		case p.line > 0:
			prefix, tokens = fmt.Sprintf("%s,%s:%d", prefix, p.id, p.line), tokens+p.line
		}
		prefix, tokens = fmt.Sprintf("%s,%s:%d", prefix, session, own), tokens+own
		q := request{method: http.MethodPost, path: path, body: input, deadline: 4 * time.Second, header: map[string]string{
			"X-Program-Id": p.id, "X-Session-Id": session, "X-Token-Budget": strconv.Itoa(p.budget),
			"X-Program-Deadline-Ms": strconv.FormatInt(time.Until(p.began.Add(p.aim)).Milliseconds(), 10),
			"X-Token-Usage":         fmt.Sprintf("%d,%d", tokens, p.most), "X-Model": "m",
			"X-Prompt-Prefix": prefix,
		}}
		if previous != "" {
			q.header["X-Previous-Turn"] = previous
		}
		attempts := p.call(q, turnRetries)
		t.attempts = append(t.attempts, attempts...)
		t.last = attempts[len(attempts)-1]
		if session == p.id && t.last.err == nil && t.last.status == http.StatusOK && t.last.complete {
			p.line = own + p.most
		}
		t.ok = t.last.err == nil && t.last.status == http.StatusOK && t.last.complete
		if t.ok || resends == turnResends || t.last.err == nil && slices.Contains([]int{400, 401, 402, 403, 404, 413}, t.last.status) {
			return t
		}
		time.Sleep(time.Duration(100+randomInt(300)) * time.Millisecond)
	}
}
