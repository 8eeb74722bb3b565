package hgmodel

import "time"

// Turn is one attempt to run a turn of a program; a retry is a new Turn.
type Turn struct {
	Program *Program
	Prompt  []Segment
	Output  int
	// Node is the node that receives the turn from its caller, and Domain the failure domain of the node.
	Node, Domain int
	// First marks the first turn of a program.
	First bool
	// settled is set once the turn has succeeded, was refused or was abandoned by its caller.
	settled bool
	request *request
	engine  *engine
	// onEnd is called once with the outcome of the attempt.
	onEnd func(ok bool)
}

// Program is a program in progress.
type Program struct {
	Kind      *Kind
	Began     time.Duration
	Objective time.Duration
	Domain    int
	idleTime  time.Duration
	served    bool
	started   bool
	// cached is the number of tokens that engines are known to cache, by segment and engine.
	cached map[int]map[int]int
	// end is when the last turn ended; failed is set when a turn has used up its attempts.
	end    time.Duration
	failed bool
}

// Remaining returns the time until the program exceeds its latency objective, negative once it has.
func (p *Program) Remaining(now time.Duration) time.Duration { return p.Began + p.Objective - now }

// cachedOn returns how many tokens of a prompt's prefix each engine is known to cache.
func (p *Program) cachedOn(prompt []Segment) map[int]int {
	cached := map[int]int{}
	before := 0
	for _, segment := range prompt {
		for e, n := range p.cached[segment.ID] {
			if cached[e] >= before {
				cached[e] += min(n, segment.Tokens)
			}
		}
		before += segment.Tokens
	}
	return cached
}

// recordCached records that an engine caches a prompt and the tokens generated after it.
func (p *Program) recordCached(e int, prompt []Segment, generated int) {
	for i, segment := range prompt {
		n := segment.Tokens
		if i == len(prompt)-1 {
			n += generated
		}
		if p.cached[segment.ID] == nil {
			p.cached[segment.ID] = map[int]int{}
		}
		p.cached[segment.ID][e] = max(p.cached[segment.ID][e], n)
	}
}

const (
	// firstTokenTimeout is the time without a first token after which a caller abandons an attempt.
	firstTokenTimeout = 2 * time.Second
	// maxTurnAttempts is the number of attempts for a turn before its program fails.
	maxTurnAttempts = 6
)

// runChain runs a chain of turns from turn i on, after the prompt segments in history, and calls done at its end.
func (r *Run) runChain(p *Program, c *chain, i int, history []Segment, done func()) {
	session := r.newSegment()
	r.runTurn(p, c, i, append(append([]Segment(nil), history...), Segment{ID: session}), done)
}

// runTurn runs turn i of a chain. The next turn starts once the pause is over and the sub-agents of turn i have ended.
func (r *Run) runTurn(p *Program, c *chain, i int, prompt []Segment, done func()) {
	last := len(prompt) - 1
	prompt = append([]Segment(nil), prompt...)
	prompt[last].Tokens += c.input[i]
	first := !p.started
	p.started = true
	r.requestTurn(&Turn{Program: p, Prompt: prompt, Output: c.output[i], First: first}, maxTurnAttempts, func() {
		prompt := append([]Segment(nil), prompt...)
		prompt[last].Tokens += c.output[i]
		if i == len(c.input)-1 {
			done()
			return
		}
		pending := 1 + len(c.subAgents[i])
		next := func() {
			if pending--; pending == 0 {
				r.runTurn(p, c, i+1, prompt, done)
			}
		}
		r.clock.At(r.clock.now+c.pause[i], next)
		for _, s := range c.subAgents[i] {
			r.runChain(p, s, 0, prompt, next)
		}
	})
}

// requestTurn sends a turn to a random node of the program's failure domain, and retries until it succeeds or no attempts
// are left; then the program fails.
func (r *Run) requestTurn(t *Turn, attemptsLeft int, done func()) {
	if t.Program.failed {
		return
	}
	t.Domain = t.Program.Domain
	t.Node = r.randomNode(t.Domain)
	delay := t.Program.Kind.openTime(r)
	t.onEnd = func(ok bool) {
		if t.settled {
			return
		}
		t.settled = true
		switch {
		case ok:
			t.Program.served = true
			r.clock.At(r.clock.now+t.Program.Kind.persistTime(r), done)
		case attemptsLeft <= 1:
			t.Program.failed = true
		default:
			retry := *t
			retry.settled, retry.request, retry.engine = false, nil, nil
			r.clock.At(r.clock.now+r.retryDelay(attemptsLeft), func() { r.requestTurn(&retry, attemptsLeft-1, done) })
		}
	}
	r.clock.At(r.clock.now+delay, func() { r.place(t) })
}

// place hands a turn to the policy, and cancels it if there is no token within firstTokenTimeout.
func (r *Run) place(t *Turn) {
	r.clock.At(r.clock.now+firstTokenTimeout, func() {
		if !t.settled && (t.request == nil || t.request.generated == 0) {
			r.policy.Cancel(t)
			if t.request != nil {
				t.engine.cancel(t.request)
				r.policy.Done(t, t.engine.id, false)
			}
			t.onEnd(false)
		}
	})
	r.policy.Place(t)
}

// Start runs a turn on the engine at; fetch is the engine to copy cached segments from, or -1.
func (r *Run) Start(t *Turn, at, fetch int) {
	if t.settled {
		r.policy.Done(t, at, false)
		return
	}
	e := r.engines[at]
	req := &request{prompt: t.Prompt, outputTokens: t.Output, onFirstToken: func() { r.policy.FirstToken(t, at) }}
	if fetch >= 0 {
		req.fetchFrom = r.engines[fetch]
	}
	req.onDone = func() {
		t.Program.recordCached(at, t.Prompt, t.Output)
		r.policy.Done(t, at, true)
		t.onEnd(true)
	}
	req.onRefused = func() {
		t.request = nil
		r.policy.Refused(t, at)
	}
	t.request, t.engine = req, e
	e.submit(req)
}

// Refuse refuses a turn to its caller, who retries later.
func (r *Run) Refuse(t *Turn) {
	r.refused++
	t.onEnd(false)
}
