package hgloss

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Second is the sum over the programs that began in one second.
type Second struct {
	// Start is the time since the first program in the logs began, in whole seconds.
	Start time.Duration
	// Outcomes is the number of programs by outcome, and Causes that of late and failed programs by cause.
	Outcomes map[Outcome]int
	Causes   map[Cause]int
}

// Seconds returns the sums of programs by the second in which they began, without those in which none began.
func Seconds(programs []Program) (seconds []Second) {
	if len(programs) == 0 {
		return nil
	}
	first := slices.MinFunc(programs, func(a, b Program) int { return a.Began.Compare(b.Began) }).Began
	byStart := map[time.Duration]Second{}
	for _, p := range programs {
		start := p.Began.Sub(first).Truncate(time.Second)
		s, ok := byStart[start]
		if !ok {
			s = Second{Start: start, Outcomes: map[Outcome]int{}, Causes: map[Cause]int{}}
			byStart[start] = s
		}
		s.Outcomes[p.Outcome]++
		if p.Cause != "" {
			s.Causes[p.Cause]++
		}
	}
	for _, start := range slices.Sorted(maps.Keys(byStart)) {
		seconds = append(seconds, byStart[start])
	}
	return seconds
}

// WriteSeconds prints a table with one line for each second: the programs by outcome, and those that were late or failed by
// cause.
func WriteSeconds(w io.Writer, seconds []Second) (err error) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer func() { err = t.Flush() }()
	fmt.Fprintln(t, "second\tin time\tlate\tfailed\tspent\tcauses")
	for _, s := range seconds {
		var causes []string
		for _, c := range slices.Sorted(maps.Keys(s.Causes)) {
			causes = append(causes, fmt.Sprintf("%s %d", c, s.Causes[c]))
		}
		fmt.Fprintf(t, "%.0f\t%d\t%d\t%d\t%d\t%s\n", s.Start.Seconds(), s.Outcomes[InTime], s.Outcomes[Late], s.Outcomes[Failed],
			s.Outcomes[BudgetSpent], strings.Join(causes, ", "))
	}
	return nil
}
