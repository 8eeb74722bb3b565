package hgcap

import (
	"sync"
	"time"

	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/serve/hgteam"
)

const (
	// viewTime is how long the views that nodes have of each other may differ: about the silence after which a peer is not live. An owner
	// that may have a predecessor which still grants accrues nothing for so long.
	viewTime = time.Second
	// pauseTime is a gap between two ticks after which other nodes may have replaced this one, which did not run meanwhile. It is shorter
	// than the silence after which a peer is not live, 0.9 s.
	pauseTime = 700 * time.Millisecond
	// movedTime is how long a node that has handed a team over refuses to be its owner, until it hears of the new one.
	movedTime = 1500 * time.Millisecond
	// resumeTime is how long the state of a team holds that another node seemed to own: the time until all views agree, twice.
	resumeTime = 2 * viewTime
	// warmTime is how long refusals do not count as an excess after the owner began with few tokens.
	warmTime = 2 * time.Second
	// overTime is how long a team has to be within its cap before it no longer counts as over it, so that log lines are few.
	overTime = 5 * time.Second
	// learnTime is the time constant by which an owner forgets the requests and programs from which it derives the requests of a program.
	// It spans a program, so that a sudden number of new programs does not look like shorter ones.
	learnTime = 30 * time.Second
	// maxProgram bounds the number of requests that a program is charged for at its start. Most programs of the platform's traces make
	// fewer; the bound keeps requests that belong to no program from charging programs for all of them.
	maxProgram = 64
	// minPrograms is the number of programs before whose start nothing is known of their requests.
	minPrograms = 3
	// startPrograms is the least number of programs that may begin at once. Teams with a small burst begin several within a second now and
	// then, while the bucket for all requests has room for them.
	startPrograms = 5
	// reserveShare is the share of the burst that new programs leave to programs in progress while the team is over its cap.
	reserveShare = 0.15
	// startShare is the largest share of its slack with which a new owner begins.
	startShare = 0.25
	// grantShare is the largest share of a scarce bucket that one lease takes, so that one node does not get all. Leases of up to smallGrant
	// tokens are not cut: they are what a program of a small team sends at once.
	grantShare = 0.5
	smallGrant = 4
)

// Over reports that a team begins or ends to exceed its cap. Refused is the number of tokens that were not granted meanwhile.
type Over struct {
	Team    string
	Begins  bool
	Refused int
}

// view is what this node knew of the others until a time.
type view struct {
	until    time.Duration
	fraction float64
	owns     func(team string) bool
}

// Owner grants leases to all nodes for the teams that this node owns. It is safe for concurrent use.
//
// It addresses teams that send many times their cap through all nodes at once, and nodes that join, freeze, end or are cut off meanwhile.
// A bucket bounds the rate and the burst. The window bounds what may run in one span of time, as leases that were granted in one span may be
// used in the next.
type Owner struct {
	timer  hgtimer.Timer
	bounds Bounds
	boot   string
	onOver func(o Over)

	mu    sync.Mutex
	teams map[string]*ownedTeam
	// fraction is the share of the registered nodes that this one hears from, and owns reports whether it owns a team.
	fraction float64
	owns     func(team string) bool
	// past are the views before the present one, the oldest first, as far as the window reaches. Since is when the first one began.
	past  []view
	since time.Duration
	// ticked is when this node last did anything here.
	ticked time.Duration
}

// never is the start of a site that has never run before.
const never = -time.Hour

// NewOwner returns the owner part of a node, which owns nothing until SetView. First says that the whole site starts for the first time, so
// that nobody has granted tokens before. OnOver may be nil; it must not call the Owner.
func NewOwner(timer hgtimer.Timer, b Bounds, boot string, first bool, onOver func(o Over)) *Owner {
	now := timer.Now()
	o := &Owner{timer: timer, bounds: b, boot: boot, onOver: onOver, teams: map[string]*ownedTeam{}, since: now, ticked: now}
	if first {
		o.since = never
	}
	return o
}

// span is how far back grants of others matter: a window, with the lag of leases and the difference of views.
func (o *Owner) span() time.Duration { return o.bounds.Window + lag + viewTime }

// SetView sets the share of the registered nodes that this one hears from, and what it owns. Changed says that the nodes to choose an owner
// from are others than before.
func (o *Owner) SetView(fraction float64, changed bool, owns func(team string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.timer.Now()
	o.detectPause(now)
	fraction = min(max(fraction, 0), 1)
	if o.owns != nil && (changed || fraction != o.fraction) {
		o.past = append(o.past, view{until: now, fraction: o.fraction, owns: o.owns})
	}
	o.fraction, o.owns = fraction, owns
	if !changed {
		return
	}
	for name, t := range o.teams {
		switch {
		case !owns(name):
			if !t.lost {
				t.lost, t.lostAt = true, now
			}
			t.movedUntil = 0
		case t.lost && now >= t.movedUntil && now-t.lostAt < resumeTime:
			// Nobody took the team over: it accrues nothing for the time between.
			t.tokens.at, t.starts.at, t.lost = now, now, false
		}
	}
}

// detectPause gives up all buckets if this node did not run for so long that another one may have taken its teams; o.mu is held.
func (o *Owner) detectPause(now time.Duration) {
	if now-o.ticked > pauseTime {
		o.since, o.past = now, nil
		for _, t := range o.teams {
			t.lost, t.lostAt = true, now-resumeTime
		}
	}
	o.ticked = now
	for len(o.past) > 0 && now-o.past[0].until > o.span() {
		o.past = o.past[1:]
	}
}

// owned reports whether this node has been the only owner of a team for so long that what others granted has left the window; least is the
// smallest fraction meanwhile. o.mu is held.
func (o *Owner) owned(team string, now time.Duration) (ok bool, least float64) {
	ok, least = now-o.since > o.span(), o.fraction
	for _, v := range o.past {
		ok, least = ok && v.owns(team), min(least, v.fraction)
	}
	return ok, least
}

// Lacks reports whether this node owns a team without a state of it while another node may have one to hand over.
func (o *Owner) Lacks(team string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.timer.Now()
	o.detectPause(now)
	t, known := o.teams[team]
	if o.owns == nil || !o.owns(team) || known && (!t.lost || now < t.movedUntil) {
		return false
	}
	ok, _ := o.owned(team, now)
	return !ok
}

// size returns the capacity of a team's bucket; o.mu is held.
func (o *Owner) size(c hgteam.Cap) float64 { return o.bounds.bucket(c, o.fraction) }

// startSize returns the capacity of a team's bucket for programs that begin; o.mu is held.
func (o *Owner) startSize(t *ownedTeam) float64 {
	return max(o.size(t.cap), startPrograms*t.programSize()*o.fraction)
}

// begin returns the state of a team that this node begins to own. Doubt says that the previous owner may still grant; o.mu is held.
func (o *Owner) begin(team string, c hgteam.Cap, doubt bool) *ownedTeam {
	now := o.timer.Now()
	t := &ownedTeam{cap: c, used: newWindow(o.bounds.Window+lag, now), learned: now, asked: now}
	ok, least := o.owned(team, now)
	tokens := o.bounds.bucket(c, least)
	if !ok {
		t.warmUntil = now + warmTime
		tokens = min(tokens, startShare*o.bounds.Slack*o.fraction)
	}
	t.tokens, t.starts = bucket{tokens: tokens, at: now}, bucket{tokens: max(tokens, startPrograms), at: now}
	if doubt {
		t.tokens.at, t.starts.at = now+viewTime, now+viewTime
	}
	return t
}

// Adopt begins to own a team with the state that the previous owner handed over. Answered says that the node asked for it has answered; if
// it did not, it may still grant tokens.
func (o *Owner) Adopt(team string, c hgteam.Cap, h Handover, answered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t, ok := o.teams[team]; ok && !t.lost {
		return
	}
	t := o.begin(team, c, !answered)
	if h.Found {
		t.tokens.tokens, t.starts.tokens = h.Tokens, h.Starts
		t.requests, t.programs = h.Requests, h.Programs
		t.used.load(h.Used)
	}
	o.teams[team] = t
}

// Surrender hands a team over to another node. If this node takes itself for the owner, it grants no tokens until it knows the other one.
func (o *Owner) Surrender(team string) (h Handover) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.timer.Now()
	o.detectPause(now)
	// A state that was lost a moment ago accrues nothing after that.
	if t, ok := o.teams[team]; ok && now >= t.movedUntil && (!t.lost || now-t.lostAt < resumeTime) {
		if !t.lost {
			o.advance(t, t.cap, now)
		}
		h = Handover{
			Found: true, Tokens: t.tokens.tokens, Starts: t.starts.tokens, Requests: t.requests, Programs: t.programs, Used: t.used.newestFirst(),
		}
		if t.overUntil > 0 {
			o.report(Over{Team: team, Refused: t.refused})
		}
	}
	delete(o.teams, team)
	if o.owns != nil && o.owns(team) {
		o.teams[team] = &ownedTeam{lost: true, lostAt: now - resumeTime, movedUntil: now + movedTime, used: newWindow(o.bounds.Window+lag, now), asked: now}
	}
	return h
}

// Grant answers an ask for a lease, under the cap of the team that is in force at this node.
func (o *Owner) Grant(q Ask, c hgteam.Cap) (g Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.timer.Now()
	o.detectPause(now)
	t, ok := o.teams[q.Team]
	if o.owns == nil || !o.owns(q.Team) || ok && now < t.movedUntil {
		return Grant{NotOwner: true}
	}
	if !ok || t.lost {
		t = o.begin(q.Team, c, false)
		o.teams[q.Team] = t
	}
	o.advance(t, c, now)
	t.asked = now
	if q.Boot == o.boot {
		o.takeBack(t, q.Unused)
	}
	g = Grant{Granted: now, Boot: o.boot}
	t.used.add(now, float64(max(q.Spent, 0)))
	free := o.free(t)
	g.Tokens = share(free, q.Tokens)
	charge := t.programSize()
	if q.Starts > 0 {
		if !o.isReserved(t, free-float64(g.Tokens)) {
			g.Starts = min(share(t.starts.tokens/charge, q.Starts), g.Tokens)
		}
		if g.Starts == 0 {
			g.StartWait = max(t.starts.wait(charge, o.fraction*c.Rate), t.tokens.wait(1, o.fraction*c.Rate))
		}
	}
	t.tokens.tokens -= float64(g.Tokens)
	if missing := q.Tokens - g.Tokens; missing > 0 {
		g.TokenWait = o.tokenWait(t, float64(missing), free)
	}
	t.starts.tokens -= float64(g.Starts) * charge
	t.used.add(now, float64(g.Tokens))
	t.learn(now, float64(g.Tokens), float64(g.Starts))
	if q.Tokens > 0 && g.Tokens == 0 || q.Starts > 0 && g.Starts == 0 {
		o.noteOver(q.Team, t, now, max(q.Tokens-g.Tokens, q.Starts-g.Starts))
	}
	return g
}

// advance brings the buckets of a team up to date under a cap; o.mu is held.
func (o *Owner) advance(t *ownedTeam, c hgteam.Cap, now time.Duration) {
	if before, most := o.bounds.most(t.cap), o.bounds.most(c); most < before {
		// A lower cap binds from one window after it was set. Counted in full, the grants under the old one would stop the team until then.
		t.used.scale(most / before)
	}
	t.cap = c
	t.tokens.advance(now, c.Rate*o.fraction, o.size(c))
	t.starts.advance(now, c.Rate*o.fraction, o.startSize(t))
	t.used.advance(now)
}

// free returns the tokens that may be granted: what the bucket holds and the window leaves. While the cap allows for it, the window keeps
// what an owner on another side of a partition grants before the two know of each other; o.mu is held.
func (o *Owner) free(t *ownedTeam) float64 {
	most := o.bounds.most(t.cap) - startShare*o.bounds.Slack
	steady := t.cap.Rate * (o.bounds.Window + lag).Seconds()
	most = min(most, max(steady, most-t.cap.Rate*viewTime.Seconds()))
	return min(t.tokens.tokens, most*o.fraction-t.used.total)
}

// isReserved reports whether what is left of a team's tokens is kept for its programs in progress; o.mu is held.
func (o *Owner) isReserved(t *ownedTeam, left float64) bool {
	return t.overUntil > 0 && left < reserveShare*o.size(t.cap)
}

// tokenWait returns the time until a team has some more tokens; free are those that it had before. While the team is over its cap, all
// nodes ask for more than there is, so that each asks less often; o.mu is held.
func (o *Owner) tokenWait(t *ownedTeam, missing, free float64) time.Duration {
	if t.overUntil == 0 {
		missing = 1
	}
	wait := t.tokens.wait(min(missing, o.size(t.cap)), t.cap.Rate*o.fraction)
	if free < 1 && t.tokens.tokens >= 1 {
		wait = max(wait, t.used.slot)
	}
	if t.overUntil > 0 {
		wait = max(wait, busyPause)
	}
	return wait
}

// share returns how many of the free tokens a lease gets that asks for some number.
func share(free float64, asked int) int {
	free += 1e-9 // Sums of accrued parts may fall short of a whole token by the error of the arithmetic.
	if free >= float64(asked) {
		return asked
	}
	if free < 1 {
		return 0
	}
	return min(asked, max(int(free*grantShare), min(int(free), smallGrant)))
}

// takeBack returns unused tokens to the buckets, unless their lease has left the window; o.mu is held.
func (o *Owner) takeBack(t *ownedTeam, unused []Unused) {
	for _, u := range unused {
		if u.Tokens <= 0 || !t.used.add(u.Granted, -float64(u.Tokens)) {
			continue
		}
		t.tokens.tokens = min(t.tokens.tokens+float64(u.Tokens), o.size(t.cap))
		t.starts.tokens = min(t.starts.tokens+float64(u.Starts)*t.programSize(), o.startSize(t))
		t.requests = max(t.requests-float64(u.Tokens), 0)
		t.programs = max(t.programs-float64(u.Starts), 0)
	}
}

// noteOver records that tokens were refused; o.mu is held.
func (o *Owner) noteOver(team string, t *ownedTeam, now time.Duration, refused int) {
	if now < t.warmUntil {
		return
	}
	if t.overUntil == 0 {
		t.refused = 0
		o.report(Over{Team: team, Begins: true})
	}
	t.overUntil = now + overTime
	t.refused += refused
}

func (o *Owner) report(v Over) {
	if o.onOver != nil {
		o.onOver(v)
	}
}

// Tick drops the teams that are idle with a full bucket, and reports those that are within their cap again. It is called about ten times a
// second.
func (o *Owner) Tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.timer.Now()
	o.detectPause(now)
	for name, t := range o.teams {
		if t.overUntil > 0 && now >= t.overUntil {
			t.overUntil = 0
			o.report(Over{Team: name, Refused: t.refused})
		}
		if now-t.asked <= o.bounds.Window+lag || now < t.movedUntil || t.overUntil > 0 {
			continue
		}
		if !t.lost {
			o.advance(t, t.cap, now)
		}
		if t.lost || t.tokens.tokens >= o.size(t.cap) {
			delete(o.teams, name)
		}
	}
}

// Teams returns the number of teams that this node has a state of.
func (o *Owner) Teams() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.teams)
}
