package hgreplay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"sort"

	"github.com/gravitational/trace"

	"hyssopgrade/hgcall"
)

// Line is one line of a trace: one call of a program.
type Line struct {
	Program string `json:"program"`
	Parent  string `json:"parent,omitempty"`
	Seq     uint64 `json:"seq"`
	// AfterMs is the pause in milliseconds after the answer to the program's previous call, or for its first call after
	// the start of the replay.
	AfterMs int64       `json:"afterMs"`
	Kind    hgcall.Kind `json:"kind"`
	Target  string      `json:"target"`
	// NewTokens is the number of new prompt tokens of a model call, and OutputTokens that of its generated tokens.
	NewTokens    int  `json:"newTokens,omitempty"`
	OutputTokens int  `json:"outputTokens,omitempty"`
	Idempotent   bool `json:"idempotent,omitempty"`
	// DurationMs is the execution time of a tool call in milliseconds.
	DurationMs int64 `json:"durationMs,omitempty"`
	// BudgetTokens is the token budget of a root program, on its first call.
	BudgetTokens uint64 `json:"budgetTokens,omitempty"`
}

// Program is a program of a trace with its calls in order.
type Program struct {
	ID    string
	Calls []Line
}

// ReadFile reads a trace from a file. A bad line is a BadParameter error that names the file and the line.
func ReadFile(path string) (programs []Program, err error) {
	defer func() { err = trace.Wrap(err, "trace %s", path) }()
	f, err := os.Open(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer f.Close()
	return Read(f)
}

// maxLineBytes is the largest length of a line.
const maxLineBytes = 1 << 20

// Read reads a trace in JSON Lines from r and returns its programs, ordered by the time of their first call.
func Read(r io.Reader) (programs []Program, err error) {
	byID := map[string]*Program{}
	var order []string
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for n := 1; sc.Scan(); n++ {
		if len(bytes.TrimSpace(sc.Bytes())) == 0 {
			continue
		}
		l, err := parseLine(sc.Bytes())
		if err != nil {
			return nil, trace.BadParameter("line %d: %v", n, err)
		}
		p := byID[l.Program]
		if p == nil {
			p = &Program{ID: l.Program}
			byID[l.Program] = p
			order = append(order, l.Program)
		}
		if want := uint64(len(p.Calls) + 1); l.Seq != want {
			return nil, trace.BadParameter("line %d: seq: %d follows %d of program %q", n, l.Seq, want-1, l.Program)
		}
		p.Calls = append(p.Calls, l)
	}
	if err := sc.Err(); err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	for _, id := range order {
		programs = append(programs, *byID[id])
	}
	return programs, checkParents(programs)
}

func parseLine(data []byte) (l Line, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return l, err
	}
	if _, err := d.Token(); err != io.EOF {
		return l, trace.BadParameter("content after the call")
	}
	return l, l.validate()
}

// Upper limits of the numbers in a trace.
const (
	maxTraceTokens = 1 << 20
	maxTraceMs     = 24 * 3600 * 1000
)

func (l Line) validate() (err error) {
	if err := hgcall.CheckProgram(l.Program); err != nil {
		return err
	}
	parent, _ := hgcall.Parent(l.Program)
	switch {
	case l.Parent != parent:
		return trace.BadParameter("parent: %q: the parent of %q is %q", l.Parent, l.Program, parent)
	case l.Kind != hgcall.Model && l.Kind != hgcall.Tool:
		return trace.BadParameter("kind: %q: want model or tool", l.Kind)
	case l.Target == "":
		return trace.BadParameter("target: want a model, or a service and an operation")
	case l.Kind == hgcall.Model && (l.NewTokens < 1 || l.NewTokens > maxTraceTokens):
		return trace.BadParameter("newTokens: %d is outside 1 to %d", l.NewTokens, maxTraceTokens)
	case l.Kind == hgcall.Model && (l.OutputTokens < 1 || l.OutputTokens > maxTraceTokens):
		return trace.BadParameter("outputTokens: %d is outside 1 to %d", l.OutputTokens, maxTraceTokens)
	case l.AfterMs < 0 || l.AfterMs > maxTraceMs:
		return trace.BadParameter("afterMs: %d is outside 0 to %d", l.AfterMs, maxTraceMs)
	case l.DurationMs < 0 || l.DurationMs > maxTraceMs:
		return trace.BadParameter("durationMs: %d is outside 0 to %d", l.DurationMs, maxTraceMs)
	}
	return nil
}

// checkParents checks that the parent of each sub-agent is in the trace, and sorts the programs by the time of their first
// call.
func checkParents(programs []Program) (err error) {
	known := map[string]bool{}
	for _, p := range programs {
		known[p.ID] = true
	}
	for _, p := range programs {
		if parent, ok := hgcall.Parent(p.ID); ok && !known[parent] {
			return trace.BadParameter("program %q: its parent has no call", p.ID)
		}
	}
	sort.SliceStable(programs, func(i, j int) bool { return programs[i].Calls[0].AfterMs < programs[j].Calls[0].AfterMs })
	return nil
}
