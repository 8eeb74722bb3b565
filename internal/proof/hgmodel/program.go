package hgmodel

import "time"

// Turn is a turn that is to be placed.
type Turn struct {
	Program *Program
	Prompt  []Part
	Output  int
	// Node is the node at which it enters, and Domain its failure domain.
	Node, Domain int
	// First says that the program has had no turn yet.
	First bool
	// given is set once the caller no longer waits.
	given bool
	job   *job
	at    *engine
	ended func(ok bool)
}

// Program is a program under way.
type Program struct {
	Kind    *Kind
	Began   time.Duration
	Aim     time.Duration
	Domain  int
	idle    time.Duration
	served  bool
	started bool
	// kept is what the engines are known to keep, by part and engine.
	kept map[int]map[int]int
	// end is when the last turn ended; failed says that a turn was given up.
	end    time.Duration
	failed bool
}

// Left returns the time until the program's aim.
func (p *Program) Left(now time.Duration) time.Duration { return p.Began + p.Aim - now }

// keptOn returns how many tokens of a prompt each engine is known to keep.
func (p *Program) keptOn(prompt []Part) map[int]int {
	sum := map[int]int{}
	before := 0
	for _, part := range prompt {
		for e, n := range p.kept[part.ID] {
			if sum[e] >= before {
				sum[e] += min(n, part.Tokens)
			}
		}
		before += part.Tokens
	}
	return sum
}

// note remembers that an engine has read a prompt and made tokens.
func (p *Program) note(e int, prompt []Part, made int) {
	for i, part := range prompt {
		n := part.Tokens
		if i == len(prompt)-1 {
			n += made
		}
		if p.kept[part.ID] == nil {
			p.kept[part.ID] = map[int]int{}
		}
		p.kept[part.ID][e] = max(p.kept[part.ID][e], n)
	}
}

const (
	// giveUp is the time without a token after which a caller leaves a turn.
	giveUp = 2 * time.Second
	// tries is the number of times that a turn is asked for before its program fails.
	tries = 6
)

// play runs a line of turns from one of them on, and calls done at its end.
func (r *Run) play(p *Program, l *line, i int, history []Part, done func()) {
	session := r.newPart()
	r.turn(p, l, i, append(append([]Part(nil), history...), Part{ID: session}), done)
}

func (r *Run) turn(p *Program, l *line, i int, prompt []Part, done func()) {
	last := len(prompt) - 1
	prompt = append([]Part(nil), prompt...)
	prompt[last].Tokens += l.input[i]
	first := !p.started
	p.started = true
	r.ask(&Turn{Program: p, Prompt: prompt, Output: l.output[i], First: first}, tries, func() {
		prompt := append([]Part(nil), prompt...)
		prompt[last].Tokens += l.output[i]
		if i == len(l.input)-1 {
			done()
			return
		}
		left := 1 + len(l.subs[i])
		next := func() {
			if left--; left == 0 {
				r.turn(p, l, i+1, prompt, done)
			}
		}
		r.clock.At(r.clock.now+l.pause[i], next)
		for _, s := range l.subs[i] {
			r.play(p, s, 0, prompt, next)
		}
	})
}

// ask tries a turn until it has ended or its program fails.
func (r *Run) ask(t *Turn, left int, done func()) {
	if t.Program.failed {
		return
	}
	t.Domain = t.Program.Domain
	t.Node = r.node(t.Domain)
	way := t.Program.Kind.openTime(r)
	t.ended = func(ok bool) {
		if t.given {
			return
		}
		t.given = true
		switch {
		case ok:
			t.Program.served = true
			r.clock.At(r.clock.now+t.Program.Kind.keepTime(r), done)
		case left <= 1:
			t.Program.failed = true
		default:
			again := *t
			again.given, again.job, again.at = false, nil, nil
			r.clock.At(r.clock.now+r.comeBack(left), func() { r.ask(&again, left-1, done) })
		}
	}
	r.clock.At(r.clock.now+way, func() { r.place(t) })
}

// place hands a turn to the policy, and takes it back when its caller leaves.
func (r *Run) place(t *Turn) {
	r.clock.At(r.clock.now+giveUp, func() {
		if !t.given && (t.job == nil || t.job.made == 0) {
			r.policy.Leave(t)
			if t.job != nil {
				t.at.cancel(t.job)
				r.policy.Done(t, t.at.id, false)
			}
			t.ended(false)
		}
	})
	r.policy.Place(t)
}

// Start runs a turn on an engine; fetch is the engine to fetch kept parts from, or -1.
func (r *Run) Start(t *Turn, at, fetch int) {
	if t.given {
		r.policy.Done(t, at, false)
		return
	}
	e := r.engines[at]
	j := &job{prompt: t.Prompt, want: t.Output, first: func() { r.policy.First(t, at) }}
	if fetch >= 0 {
		j.fetch = r.engines[fetch]
	}
	j.done = func() {
		t.Program.note(at, t.Prompt, t.Output)
		r.policy.Done(t, at, true)
		t.ended(true)
	}
	j.refused = func() {
		t.job = nil
		r.policy.Refused(t, at)
	}
	t.job, t.at = j, e
	e.submit(j)
}

// Refuse gives a turn back to its caller.
func (r *Run) Refuse(t *Turn) {
	r.refused++
	t.ended(false)
}
