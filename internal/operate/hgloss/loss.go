package hgloss

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgexplain"
)

// Outcome is how a program ended, judged by the log line of its last request.
type Outcome string

// The outcomes of programs; the values are printed in the table of Write.
const (
	// InTime programs got their last answer before their deadline.
	InTime Outcome = "in time"
	// Late programs got their last answer after their deadline, or had no time left or no deadline at their last request.
	Late Outcome = "late"
	// Failed programs got an error as the answer to their last request.
	Failed Outcome = "failed"
	// BudgetSpent programs were stopped because their budget was used up.
	BudgetSpent Outcome = "spent"
)

// Times is the time of a program's requests by phase. Sub-agents run in parallel, so that the sum of the phases may be
// longer than the program took.
type Times struct {
	// Backoff is the time between a refusal (503) and the next request of the same session.
	Backoff time.Duration
	// Placement is the time for which requests waited for a place on a replica.
	Placement time.Duration
	// StateOpen is the time for opening turns in the ledger before they are sent, and StateSave that for saving them
	// afterwards.
	StateOpen, StateSave time.Duration
	// Prefill is an estimate: the time in which an idle engine reads the prompt tokens that were not expected to be in
	// the replica's cache.
	Prefill time.Duration
	// Queue is the remaining time from the dispatch of requests to the head of their answers.
	Queue time.Duration
	// Decode is the time from the head of answers to their end.
	Decode time.Duration
	// Tools is the time of the requests that are no turns: calls of tools and other plain services.
	Tools time.Duration
}

func (t Times) plus(u Times) Times {
	return Times{
		Backoff: t.Backoff + u.Backoff, StateOpen: t.StateOpen + u.StateOpen, StateSave: t.StateSave + u.StateSave,
		Prefill: t.Prefill + u.Prefill, Queue: t.Queue + u.Queue, Placement: t.Placement + u.Placement,
		Decode: t.Decode + u.Decode, Tools: t.Tools + u.Tools,
	}
}

// Program is the summary of one program found in the logs.
type Program struct {
	ID string
	// Route is the route of the first turn, or of the last request if there was no turn.
	Route   string
	Outcome Outcome
	// Cause says why the program was late or failed; it is empty for other outcomes.
	Cause Cause
	// Began is when the first request of the program began.
	Began time.Time
	// Overrun is the time by which the program missed its deadline; negative if it was in time.
	Overrun time.Duration
	Turns   int
	// Refusals is the number of requests answered with 503.
	Refusals int
	Times    Times
}

const (
	// prefillQuantile is the quantile of the times per prompt token that stands for an idle engine.
	prefillQuantile = 0.1
	// minPrefill is the least number of prompt tokens to read for which the time to the head of the answer tells how
	// fast the engine reads.
	minPrefill = 500
)

// prefillPerToken estimates the time in which an idle engine reads one prompt token, from the fastest requests that had
// many to read; 0 if there are none.
func prefillPerToken(requests []request) time.Duration {
	perToken := lo.FilterMap(requests, func(r request, _ int) (time.Duration, bool) {
		return r.head / time.Duration(max(r.miss, 1)), r.status == http.StatusOK && r.miss >= minPrefill && r.head > 0
	})
	if len(perToken) == 0 {
		return 0
	}
	slices.Sort(perToken)
	return perToken[int(prefillQuantile*float64(len(perToken)))]
}

// Programs returns the summaries of all programs in the log lines, sorted by identifier.
func Programs(lines []hgexplain.Line) (programs []Program) {
	requests := lo.FilterMap(lines, parseRequest)
	perToken := prefillPerToken(requests)
	byID := lo.GroupBy(requests, func(r request) string { return r.program })
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		programs = append(programs, summarize(id, byID[id], perToken))
	}
	setLateCauses(programs)
	return programs
}

// summarize returns the summary of the program to which the requests belong. Engines read a prompt token in perToken.
func summarize(id string, requests []request, perToken time.Duration) (p Program) {
	slices.SortFunc(requests, func(a, b request) int { return cmp.Compare(a.end.UnixNano(), b.end.UnixNano()) })
	p = Program{ID: id, Began: slices.MinFunc(requests, func(a, b request) int { return a.start().Compare(b.start()) }).start()}
	refusedAt := map[string]time.Time{} // by session
	for _, r := range requests {
		if at, ok := refusedAt[r.session]; ok && r.start().After(at) {
			p.Times.Backoff += r.start().Sub(at)
		}
		delete(refusedAt, r.session)
		if r.status == http.StatusServiceUnavailable {
			refusedAt[r.session] = r.end
			p.Refusals++
			continue
		}
		if r.isTurn {
			p.Turns++
			p.Route = cmp.Or(p.Route, r.route)
		}
		p.Times = p.Times.plus(r.times(perToken))
	}
	last := requests[len(requests)-1]
	p.Overrun = last.took - last.deadlineLeft
	if p.Outcome = last.outcome(); p.Outcome == Failed {
		p.Cause = last.failureCause()
	}
	p.Route = cmp.Or(p.Route, last.route)
	return p
}

// Group is the sum over the programs of one route with the same outcome.
type Group struct {
	Route    string
	Outcome  Outcome
	Programs int
	Turns    int
	Refusals int
	Times    Times
}

// Groups returns the sums of programs by route and outcome, sorted by both.
func Groups(programs []Program) (groups []Group) {
	byKey := lo.GroupBy(programs, func(p Program) [2]string { return [2]string{p.Route, string(p.Outcome)} })
	keys := slices.SortedFunc(maps.Keys(byKey), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	for _, key := range keys {
		g := Group{Route: key[0], Outcome: Outcome(key[1]), Programs: len(byKey[key])}
		for _, p := range byKey[key] {
			g.Turns += p.Turns
			g.Refusals += p.Refusals
			g.Times = g.Times.plus(p.Times)
		}
		groups = append(groups, g)
	}
	return groups
}

// Write prints groups as a table of means: turns and refusals per program, times in milliseconds per turn.
// Its columns away, open, place, read and keep are Backoff, StateOpen, Placement, Prefill and StateSave.
func Write(w io.Writer, groups []Group) (err error) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer func() { err = t.Flush() }()
	fmt.Fprintln(t, "route\tend\tprograms\tturns\trefusals\taway\topen\tplace\tqueue\tread\tdecode\tkeep\ttools\t")
	for _, g := range groups {
		n := max(g.Turns, 1)
		ms := func(d time.Duration) float64 { return d.Seconds() * 1000 / float64(n) }
		fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", g.Route, g.Outcome, g.Programs,
			float64(g.Turns)/float64(g.Programs), float64(g.Refusals)/float64(g.Programs), ms(g.Times.Backoff), ms(g.Times.StateOpen),
			ms(g.Times.Placement), ms(g.Times.Queue), ms(g.Times.Prefill), ms(g.Times.Decode), ms(g.Times.StateSave), ms(g.Times.Tools))
	}
	return nil
}
