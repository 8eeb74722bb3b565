package hgcap

import (
	"math"
	"sync"
	"time"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/serve/hgteam"
)

const (
	// demandTime is the time for whose expected requests a node leases tokens. An ask takes 1 to 2 ms; two asks a second are few beside the
	// requests of a busy team.
	demandTime = 500 * time.Millisecond
	// demandMemory is the time constant of the moving average of requests: traffic shifts within seconds.
	demandMemory = time.Second
	// lowShare is the share of the expected demand at which a node asks for more in the background.
	lowShare = 0.3
	// busyPause is the least time between two asks of a team that is over its cap, and failPause that after a second ask that no owner
	// answered.
	busyPause = 250 * time.Millisecond
	failPause = 100 * time.Millisecond
	// minPause is the least time between two asks after a refusal: at 50 asks a second and VM, a refusal costs more than it saves.
	minPause = 20 * time.Millisecond
	// maxPause bounds the time for which a node refuses requests without asking again, as the owner may know of a new cap.
	maxPause = 500 * time.Millisecond
	// idleTime is how long the state of a team is kept without requests.
	idleTime = 10 * time.Second
	// maxUnused bounds the leases that are returned with one ask: those of some seconds, at two to four a second.
	maxUnused = 16
)

// Step is the result of a look at the leases. If it is not Decided, the caller has to wait for Done and look again.
type Step struct {
	Decided bool
	Reply   Reply
	// Ask is to be sent to the owner, and its result to be given to Settle; nil if there is nothing to ask.
	Ask  *Ask
	Done <-chan struct{}
}

// Leases holds the leased tokens of all teams at one node. It is safe for concurrent use.
//
// It addresses teams whose requests come through all nodes, in shares that shift within seconds: a node leases what it expects and returns
// what it did not use, so that most requests wait for no call.
type Leases struct {
	timer  hgtimer.Timer
	bounds Bounds

	mu    sync.Mutex
	teams map[string]*localTeam
}

// localTeam is what a node knows of a team.
type localTeam struct {
	// leases are the leases in order of their expiry.
	leases []lease
	// unused are tokens of expired leases of the owner's process boot.
	unused []Unused
	boot   string
	// requests and programs are the expected demand.
	requests, programs average
	// asking is closed when the ask in flight is settled; nil if there is none. Waiting is the number of requests that wait for it, and
	// starting that of those that begin programs.
	asking            chan struct{}
	waiting, starting int
	askedAt           time.Duration
	// tokensFrom and startsFrom are when the owner may be asked again after a refusal.
	tokensFrom, startsFrom time.Duration
	// failing says that the last ask had no answer of an owner, and failFrom is when the next one may be sent.
	failing  bool
	failFrom time.Duration
	// own is the bucket of the requests that this node admits without an owner, and spent those admitted since the last ask.
	own   bucket
	spent int
	seen  time.Duration
}

// lease is a number of tokens and starts that may be used before until.
type lease struct {
	tokens, starts int
	until, granted time.Duration
}

// average is a moving average of events per second.
type average struct {
	rate float64
	at   time.Duration
}

func (a *average) add(now time.Duration, n float64) {
	a.rate = a.rate*math.Exp(-(now-a.at).Seconds()/demandMemory.Seconds()) + n/demandMemory.Seconds()
	a.at = now
}

// expected returns the number of events in demandTime.
func (a *average) expected(now time.Duration) int {
	return int(math.Ceil(a.rate * math.Exp(-(now-a.at).Seconds()/demandMemory.Seconds()) * demandTime.Seconds()))
}

// NewLeases returns the leases of a node that holds none yet.
func NewLeases(timer hgtimer.Timer, b Bounds) *Leases {
	return &Leases{timer: timer, bounds: b, teams: map[string]*localTeam{}}
}

// team returns the state of a team, without expired leases; l.mu is held.
func (l *Leases) team(name string, now time.Duration) *localTeam {
	t, ok := l.teams[name]
	if !ok {
		t = &localTeam{own: bucket{at: now}, requests: average{at: now}, programs: average{at: now}}
		l.teams[name] = t
	}
	t.expire(now)
	return t
}

// expire turns expired leases into unused tokens.
func (t *localTeam) expire(now time.Duration) {
	for len(t.leases) > 0 && now >= t.leases[0].until {
		if e := t.leases[0]; e.tokens > 0 {
			t.giveUp(Unused{Granted: e.granted, Tokens: e.tokens, Starts: e.starts})
		}
		t.leases = t.leases[1:]
	}
}

// giveUp adds tokens to those that are returned with the next ask.
func (t *localTeam) giveUp(u Unused) {
	for i := range t.unused {
		if have := &t.unused[i]; have.Granted == u.Granted {
			have.Tokens, have.Starts = have.Tokens+u.Tokens, have.Starts+u.Starts
			return
		}
	}
	if len(t.unused) < maxUnused {
		t.unused = append(t.unused, u)
	}
}

// held returns the tokens and starts of all leases.
func (t *localTeam) held() (tokens, starts int) {
	for _, e := range t.leases {
		tokens, starts = tokens+e.tokens, starts+e.starts
	}
	return tokens, starts
}

// take uses one token, and one start if a program begins, and reports whether there was one of each. The expiry is checked with the reading
// of the clock at which the token is taken, so that a node that was frozen uses no old lease.
func (t *localTeam) take(begins bool) (granted time.Duration, ok bool) {
	tokens, starts := t.held()
	if tokens == 0 || begins && starts == 0 {
		return 0, false
	}
	begun, took := !begins, false
	for i := range t.leases {
		e := &t.leases[i]
		if !begun && e.starts > 0 {
			e.starts, begun = e.starts-1, true
		}
		if !took && e.tokens > 0 {
			e.tokens, took, granted = e.tokens-1, true, e.granted
		}
	}
	return granted, true
}

// Take looks for a token for a request. Again says that the request has waited for an ask.
func (l *Leases) Take(q Request, again bool) (s Step) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	t := l.team(q.Team.Name, now)
	t.seen = now
	if !again {
		t.programs.add(now, begins(q))
		t.requests.add(now, 1-begins(q))
	}
	if granted, ok := t.take(q.New); ok {
		t.requests.add(now, begins(q))
		s = Step{Decided: true, Reply: Reply{Verdict: Granted, Leased: granted, Boot: t.boot}}
		if tokens, _ := t.held(); t.asking == nil && now >= max(t.tokensFrom, t.failFrom) && t.isLow(now, tokens) {
			s.Ask = t.ask(q.Team, now)
		}
		return s
	}
	tokens, starts := t.held()
	switch {
	case tokens == 0 && now < t.tokensFrom && len(t.unused) == 0:
		return refuse(t.tokensFrom - now)
	case q.New && starts == 0 && now < t.startsFrom:
		return refuse(t.startsFrom - now)
	case now < t.failFrom:
		return Step{}
	}
	t.waiting++
	if q.New {
		t.starting++
	}
	if t.asking == nil {
		s.Ask = t.ask(q.Team, now)
	}
	s.Done = t.asking
	return s
}

func refuse(after time.Duration) Step {
	return Step{Decided: true, Reply: Reply{Verdict: OverCap, RetryAfter: after}}
}

// begins returns 1 for a request that begins a program.
func begins(q Request) float64 {
	if q.New {
		return 1
	}
	return 0
}

// isLow reports whether the tokens last for too short a time. A team with few requests leases one token for each of them.
func (t *localTeam) isLow(now time.Duration, tokens int) bool {
	want := t.requests.expected(now)
	return want > 1 && float64(tokens) < lowShare*float64(want)
}

// ask returns an ask for the expected demand and marks it as sent.
func (t *localTeam) ask(team hgteam.Team, now time.Duration) *Ask {
	tokens, starts := t.held()
	q := &Ask{
		Team: team.Name, Rate: team.Cap.Rate, Burst: team.Cap.Burst,
		Tokens: max(t.requests.expected(now)-tokens, t.waiting, 1), Unused: t.unused, Boot: t.boot, Spent: t.spent,
	}
	if expected := t.programs.expected(now); now >= t.startsFrom && (t.starting > 0 || expected > 1) {
		q.Starts = max(expected-starts, t.starting, 0)
		q.Tokens = max(q.Tokens, q.Starts)
	}
	t.unused, t.spent = nil, 0
	t.asking, t.askedAt = make(chan struct{}), now
	return q
}

// Settle takes the result of an ask; ok is false if no owner answered.
func (l *Leases) Settle(q Ask, g Grant, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	t := l.team(q.Team, now)
	if t.asking != nil {
		close(t.asking)
	}
	t.asking, t.waiting, t.starting = nil, 0, 0
	if !ok || g.NotOwner {
		if t.failing {
			t.failFrom = now + failPause
		} else {
			t.failing, t.own = true, bucket{at: now + viewTime}
		}
		t.spent += q.Spent
		return
	}
	t.failing = false
	if t.boot != g.Boot {
		t.boot, t.unused = g.Boot, nil
	}
	if g.Tokens > 0 {
		t.leases = append(t.leases, lease{tokens: g.Tokens, starts: g.Starts, until: t.askedAt + LeaseTime, granted: g.Granted})
		t.expire(now)
	}
	if g.Tokens < q.Tokens {
		t.tokensFrom = now + pause(g.TokenWait)
	}
	if q.Starts > 0 && g.Starts < q.Starts {
		t.startsFrom = now + pause(g.StartWait)
	}
}

// pause returns how long to wait before the next ask after one that was not granted in full.
func pause(wait time.Duration) time.Duration {
	return min(max(wait, minPause), maxPause)
}

// TakeOwn admits a request on this node's own share of the cap, 1/nodes, as no owner answers. The share accrues from
// viewTime after the first ask failed, as the owner counts on this node until it finds that it does not hear from it.
func (l *Leases) TakeOwn(q Request, nodes int) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	t := l.team(q.Team.Name, now)
	part := 1 / float64(max(nodes, 1))
	rate := q.Team.Cap.Rate * part
	size := l.bounds.share(q.Team.Cap, part)
	t.own.advance(now, rate, size)
	if t.own.tokens < 1 {
		return Reply{Verdict: NoOwner, RetryAfter: min(t.own.wait(1, rate), maxPause)}
	}
	t.own.tokens--
	t.spent = min(t.spent+1, int(math.Ceil(size+rate*l.bounds.Window.Seconds())))
	return Reply{Verdict: Granted}
}

// Return gives back what a request took that was not sent: to its lease, or to the owner once the lease has expired.
func (l *Leases) Return(q Request, r Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.team(q.Team.Name, l.timer.Now())
	if r.Boot == "" || r.Boot != t.boot {
		return
	}
	starts := int(begins(q))
	for i := range t.leases {
		if e := &t.leases[i]; e.granted == r.Leased {
			e.tokens, e.starts = e.tokens+1, e.starts+starts
			return
		}
	}
	t.giveUp(Unused{Granted: r.Leased, Tokens: 1, Starts: starts})
}

// Evict drops the teams without recent requests.
func (l *Leases) Evict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for name, t := range l.teams {
		if t.asking == nil && now-t.seen > idleTime {
			delete(l.teams, name)
		}
	}
}
