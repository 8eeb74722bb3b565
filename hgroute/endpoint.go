package hgroute

import (
	"math"
	"sort"
	"time"

	"hyssopgrade/hgpreset"
)

// Bounds of what is learned about an endpoint.
const (
	// smoothing is the weight of a new observation.
	smoothing = 0.1
	// shrink is the factor of the window after a slow call.
	shrink = 0.9
	// peerMaxAge is the age at which a peer's load no longer counts.
	peerMaxAge = 3 * time.Second
	// failuresToEject is the number of failures in a row that eject an endpoint.
	failuresToEject = 3
	// ejectFirst and ejectMost bound the time of an ejection, which doubles each time.
	ejectFirst = time.Second
	ejectMost  = 30 * time.Second
	// reserveFor is how long an endpoint is kept free for a call that must run alone.
	reserveFor = 2 * time.Second
	// firstPrefillMs is the prefill time per token before any was observed, in milliseconds.
	firstPrefillMs = 0.1
	// firstServiceMs is the time of a call before any was observed, in milliseconds.
	firstServiceMs = 500
	// minPrefillTokens is the number of computed tokens from which prefill time is learned.
	minPrefillTokens = 64
)

// Timing is what was observed of one call.
type Timing struct {
	// FirstToken is the time from dispatch to the first token.
	FirstToken time.Duration
	// Total is the time from dispatch to the end.
	Total time.Duration
	// Computed is the number of prompt tokens that were not cached.
	Computed int
	// Output is the number of tokens generated.
	Output int
}

type peerLoad struct {
	calls  int
	tokens int
	at     time.Duration
}

type endpoint struct {
	Endpoint
	remote bool
	own    int
	peers  map[string]peerLoad
	// peerCalls and peerTokens are the peers' sums, valid until sumUntil.
	peerCalls     int
	peerTokens    int
	sumUntil      time.Duration
	window        float64
	minWindow     float64
	maxWindow     float64
	targetMs      float64
	tokenMs       float64
	leastTokenMs  float64
	meanInFlight  float64
	serviceMs     float64
	shrunk        time.Duration
	failures      int
	ejections     int
	ejectedUntil  time.Duration
	leaving       bool
	exclusive     bool
	reservedUntil time.Duration
	// held are the tokens of this node's live programs, arriving those placed since held was told.
	held     int
	arriving int
	fill     float64
}

func newEndpoint(e Endpoint, remote bool, p hgpreset.Preset) endpoint {
	return endpoint{
		Endpoint: e, remote: remote, peers: map[string]peerLoad{}, sumUntil: never, window: float64(p.Window),
		serviceMs: firstServiceMs,
	}
}

func (e *endpoint) setPreset(p hgpreset.Preset) {
	e.minWindow, e.maxWindow = float64(p.MinWindow), float64(p.MaxWindow)
	e.window = min(max(e.window, e.minWindow), e.maxWindow)
	e.targetMs = float64(p.TokenTargetMs)
	e.fill = float64(p.MemoryFillPercent) / 100
}

// hasRoom tells whether the memory has room for a new program, as far as live programs of all nodes are known.
func (e *endpoint) hasRoom(now time.Duration) bool {
	if e.MemoryTokens == 0 || e.fill == 0 {
		return true
	}
	e.others(now)
	tokens := e.held + e.arriving + e.peerTokens
	return float64(tokens) < e.fill*float64(e.MemoryTokens)
}

// setPeer notes a peer's load.
func (e *endpoint) setPeer(peer string, l peerLoad) {
	e.peers[peer] = l
	e.sum(l.at)
}

// sum adds up the peers' loads that are not too old, until the first of them is.
func (e *endpoint) sum(now time.Duration) {
	e.peerCalls, e.peerTokens, e.sumUntil = 0, 0, never
	for id, p := range e.peers {
		end := p.at + peerMaxAge
		if now > end {
			delete(e.peers, id)
			continue
		}
		e.peerCalls += p.calls
		e.peerTokens += p.tokens
		e.sumUntil = min(e.sumUntil, end)
	}
}

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

func (e *endpoint) others(now time.Duration) int {
	if now > e.sumUntil {
		e.sum(now)
	}
	return e.peerCalls
}

func (e *endpoint) inFlight(now time.Duration) int { return e.own + e.others(now) }

func (e *endpoint) usable(now time.Duration) bool {
	return !e.leaving && now >= e.ejectedUntil
}

// free tells whether a call may start now. After an ejection one call at a time tries the endpoint.
func (e *endpoint) free(now time.Duration) bool { return e.freeWith(e.inFlight(now), now) }

// freeWith tells the same for a known number of calls in flight.
func (e *endpoint) freeWith(n int, now time.Duration) bool {
	if e.exclusive || now < e.reservedUntil {
		return false
	}
	if e.failures > 0 && e.ejections > 0 {
		return e.own == 0
	}
	return float64(n) < e.window
}

func (e *endpoint) learn(t Timing, now time.Duration) {
	if t.Total == 0 {
		return
	}
	e.failures = 0
	e.ejections = 0
	e.serviceMs += smoothing * (ms(t.Total) - e.serviceMs)
	if t.Output < 2 {
		return
	}
	tokenMs := ms(t.Total-t.FirstToken) / float64(t.Output-1)
	if e.tokenMs == 0 {
		e.tokenMs, e.leastTokenMs, e.meanInFlight = tokenMs, tokenMs, 1
	}
	e.tokenMs += smoothing * (tokenMs - e.tokenMs)
	e.leastTokenMs = min(e.leastTokenMs, tokenMs)
	e.meanInFlight += smoothing * (float64(e.inFlight(now)+1) - e.meanInFlight)
	e.resize(now)
}

// resize grows the window by one per window of calls and shrinks it at most once per call time.
func (e *endpoint) resize(now time.Duration) {
	if e.tokenMs <= e.targetMs {
		if float64(e.inFlight(now))+1 >= e.window {
			e.window = min(e.window+1/e.window, e.maxWindow)
		}
		return
	}
	if now-e.shrunk < time.Duration(e.serviceMs)*time.Millisecond {
		return
	}
	e.shrunk = now
	e.window = max(e.window*shrink, e.minWindow)
}

func (e *endpoint) fail(refused bool, now time.Duration) {
	e.failures++
	if !refused && e.failures < failuresToEject {
		return
	}
	if now < e.ejectedUntil {
		return
	}
	e.ejectedUntil = now + min(ejectFirst<<e.ejections, ejectMost)
	e.ejections = min(e.ejections+1, 5)
	e.window = max(e.window/2, e.minWindow)
}

// waitMs returns the expected wait for a place at an endpoint that has none free.
func (e *endpoint) waitMs(n int) float64 {
	return max(float64(n)-e.window+1, 1) * e.serviceMs / max(e.window, 1)
}

// slowdownMs returns by how much one more call in flight lengthens the time between tokens.
func (e *endpoint) slowdownMs() float64 {
	return max(e.tokenMs-e.leastTokenMs, 0) / max(e.meanInFlight, 1)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func sortBy(list []int, less func(a, b int) bool) {
	sort.Slice(list, func(i, j int) bool { return less(list[i], list[j]) })
}
