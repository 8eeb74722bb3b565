package hgcap

import (
	"time"

	"hyssopgrade/internal/serve/hgteam"
)

// Bounds say how far the requests of a team may exceed its cap: in each span of Window at most
// (rate * Window + burst) * (1 + Overage) + Slack requests run.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
}

// most returns the number of requests that may run in a span of Window.
func (b Bounds) most(c hgteam.Cap) float64 {
	return (c.Rate*b.Window.Seconds()+c.Burst)*(1+b.Overage) + b.Slack
}

// share returns the size of the bucket of a part of the nodes. It has room for one request as long as the bounds allow for it, so that the
// teams with few requests are not refused altogether.
func (b Bounds) share(c hgteam.Cap, fraction float64) float64 {
	return max(c.Burst*fraction, min(1, (b.most(c)-c.Rate*b.Window.Seconds())*fraction))
}

// bucket returns the size of the bucket with which an owner serves a part of the nodes: the burst and a part of what the bounds allow beyond
// it, as one program of a team with a small cap sends more requests within a second than the burst of its team. The rest is for tokens that are
// used late and for what a new owner begins with, whose window is empty; a quarter of the slack is always there.
func (b Bounds) bucket(c hgteam.Cap, fraction float64) float64 {
	start := startShare * b.Slack
	beyond := b.most(c) - c.Rate*(b.Window+lag).Seconds() - c.Burst - start
	return b.share(c, fraction) + max(beyond, start)*fraction
}

// Unused are tokens of a lease that a node returns, as the lease has expired. Granted is when the owner granted the lease, on its clock.
type Unused struct {
	Granted        time.Duration
	Tokens, Starts int
}

// Ask asks the owner of a team for a lease.
type Ask struct {
	Team string
	// Rate and Burst are the cap as the asking node knows it. The owner uses its own desired state if that holds the team.
	Rate, Burst float64
	// Tokens is the number of requests that the node expects, and Starts the number of programs that they begin.
	Tokens, Starts int
	// Unused are tokens of earlier leases of the process Boot.
	Unused []Unused
	Boot   string
	// Spent are the requests that the node admitted on its own since the last ask, as it had no answer of an owner.
	Spent int
}

// Grant is the owner's answer to an Ask.
type Grant struct {
	// NotOwner says that the node does not own the team, as far as it knows; the other fields are then zero.
	NotOwner bool
	// Tokens and Starts are leased for LeaseTime from when the Ask was sent. Granted is the time of the lease on the owner's clock, and
	// Boot identifies the process of the owner.
	Tokens, Starts int
	Granted        time.Duration
	Boot           string
	// TokenWait and StartWait are the times after which the owner expects the next token and the next program, if it granted fewer than
	// were asked for.
	TokenWait, StartWait time.Duration
}

// Handover is the state of a team that an owner gives to the next one.
type Handover struct {
	// Found says that the node had a state of the team.
	Found          bool
	Tokens, Starts float64
	// Requests and Programs are the smoothed counts from which the owner derives the requests of a program.
	Requests, Programs float64
	// Used are the tokens granted in each slot of the window, the newest first.
	Used []float64
}

const (
	// LeaseTime is how long leased tokens may be used, counted by the asking node from when it sent the ask. It spans demandTime and the
	// wait for the next ask. Tokens that are used this late add to the next window, so that it should be short.
	LeaseTime = 800 * time.Millisecond
	// DispatchTime is how long after it was counted a request may be sent to a replica. Later it has to be counted again.
	DispatchTime = 400 * time.Millisecond
	// lag is the longest time between the grant of a token and the dispatch of its request.
	lag = LeaseTime + DispatchTime
)
