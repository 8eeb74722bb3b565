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

// End is how a program ended, as far as the logs of the entry VMs tell.
type End string

// The ends of programs.
const (
	// InTime programs had their last answer before their aim.
	InTime End = "in time"
	// Late programs had it after their aim.
	Late End = "late"
	// Failed programs had no answer to their last request.
	Failed End = "failed"
	// Spent programs were stopped by their budget.
	Spent End = "spent"
)

// Times split the time of a program's requests. Sub-agents run beside each other, so that their sum may be longer than
// the program took.
type Times struct {
	// Away is the time between a refusal and the next request of the same line of turns.
	Away time.Duration
	// Place is the time for which requests waited for a place on a replica.
	Place time.Duration
	// Open and Keep are the time for the state of the program before and after its turns.
	Open, Keep time.Duration
	// Read is what the parts of prompts take that no replica was believed to keep, read by an idle engine.
	Read time.Duration
	// Queue is the rest of the time from the send to the first token.
	Queue time.Duration
	// Decode is the time from the first token to the last.
	Decode time.Duration
	// Tools is the time of the calls of plain services.
	Tools time.Duration
}

func (t Times) plus(u Times) Times {
	return Times{
		Away: t.Away + u.Away, Open: t.Open + u.Open, Keep: t.Keep + u.Keep, Read: t.Read + u.Read,
		Queue: t.Queue + u.Queue, Place: t.Place + u.Place, Decode: t.Decode + u.Decode, Tools: t.Tools + u.Tools,
	}
}

// Program is one program of the logs.
type Program struct {
	ID string
	// Route is that of its first turn.
	Route string
	End   End
	// Over is by how much it missed its aim; negative for one in time.
	Over    time.Duration
	Turns   int
	Refused int
	Times   Times
}

// readPerToken is the time in which an idle engine reads a token; the users' engines read about 59 in a millisecond.
const readPerToken = 17 * time.Microsecond

// Programs splits the time of all programs in the lines of logs.
func Programs(lines []hgexplain.Line) (programs []Program) {
	byID := lo.GroupBy(lo.FilterMap(lines, toRequest), func(r request) string { return r.program })
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		programs = append(programs, split(id, byID[id]))
	}
	return programs
}

func split(id string, requests []request) (p Program) {
	slices.SortFunc(requests, func(a, b request) int { return cmp.Compare(a.end.UnixNano(), b.end.UnixNano()) })
	p = Program{ID: id}
	refused := map[string]time.Time{}
	for _, r := range requests {
		if at, ok := refused[r.session]; ok && r.start().After(at) {
			p.Times.Away += r.start().Sub(at)
		}
		delete(refused, r.session)
		if r.status == http.StatusServiceUnavailable {
			refused[r.session] = r.end
			p.Refused++
			continue
		}
		if r.isTurn {
			p.Turns++
			p.Route = cmp.Or(p.Route, r.route)
		}
		p.Times = p.Times.plus(r.times())
	}
	last := requests[len(requests)-1]
	p.Over = last.took - last.aimLeft
	p.End = last.ending()
	p.Route = cmp.Or(p.Route, last.route)
	return p
}

// Group is the programs of a route that ended in one way.
type Group struct {
	Route    string
	End      End
	Programs int
	Turns    int
	Refused  int
	// Times is the sum over the programs.
	Times Times
}

// Groups joins programs by route and end.
func Groups(programs []Program) (groups []Group) {
	byKey := lo.GroupBy(programs, func(p Program) [2]string { return [2]string{p.Route, string(p.End)} })
	keys := slices.SortedFunc(maps.Keys(byKey), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	for _, key := range keys {
		g := Group{Route: key[0], End: End(key[1]), Programs: len(byKey[key])}
		for _, p := range byKey[key] {
			g.Turns += p.Turns
			g.Refused += p.Refused
			g.Times = g.Times.plus(p.Times)
		}
		groups = append(groups, g)
	}
	return groups
}

// Write prints groups as a table of means: times in milliseconds a turn.
func Write(w io.Writer, groups []Group) (err error) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer func() { err = t.Flush() }()
	fmt.Fprintln(t, "route\tend\tprograms\tturns\trefusals\taway\topen\tplace\tqueue\tread\tdecode\tkeep\ttools\t")
	for _, g := range groups {
		n := max(g.Turns, 1)
		ms := func(d time.Duration) float64 { return d.Seconds() * 1000 / float64(n) }
		fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", g.Route, g.End, g.Programs,
			float64(g.Turns)/float64(g.Programs), float64(g.Refused)/float64(g.Programs), ms(g.Times.Away), ms(g.Times.Open),
			ms(g.Times.Place), ms(g.Times.Queue), ms(g.Times.Read), ms(g.Times.Decode), ms(g.Times.Keep), ms(g.Times.Tools))
	}
	return nil
}
