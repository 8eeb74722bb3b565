package hgreplay

import (
	"fmt"
	"slices"

	"github.com/samber/lo"

	"hyssopgrade/hgcall"
	"hyssopgrade/internal/proof/hgstandin"
)

// CheckRecords compares the endpoints' execution records with the outcomes that the callers saw, and adds a violation for
// each contradiction. It ignores executions of requests that this replay did not send.
func (r *Report) CheckRecords(records []hgstandin.Execution) {
	known := lo.Filter(records, func(x hgstandin.Execution, _ int) bool { return r.calls[x.Request].Request != "" })
	runs := lo.GroupBy(known, func(x hgstandin.Execution) string { return x.Request })
	for id, executions := range runs {
		r.checkRunCount(id, len(executions))
	}
	for id := range r.answered {
		if len(runs[id]) == 0 {
			r.violation("request %q was answered and is in no record", id)
		}
	}
	for _, executions := range lo.GroupBy(known, func(x hgstandin.Execution) string { return x.Program }) {
		r.checkOrder(executions)
	}
}

// Undetermined returns the requests that may not run again and were refused with ReasonOutcomeLost, but are in no endpoint's
// record. This happens if the owner stops between recording the intent to dispatch and the dispatch: no endpoint can report
// an outcome, and the next owner can't rule out that the request was dispatched.
func (r *Report) Undetermined(records []hgstandin.Execution) []string {
	ran := lo.SliceToMap(records, func(x hgstandin.Execution) (string, bool) { return x.Request, true })
	return lo.Filter(lo.Keys(r.unknown), func(id string, _ int) bool {
		return r.unknown[id] && !r.calls[id].Repeatable() && !ran[id]
	})
}

// checkRunCount checks that a request refused as not run did not run, and that a tool call that is not idempotent ran at
// most once.
func (r *Report) checkRunCount(id string, n int) {
	c := r.calls[id]
	if r.notRun[id] {
		r.violation("request %q was refused as not run and ran %d times", id, n)
	}
	if c.Kind == hgcall.Tool && !c.Idempotent && n > 1 {
		r.violation("request %q is not idempotent and ran %d times", id, n)
	}
}

// checkOrder checks that the calls of a program started in the order of their sequence numbers.
func (r *Report) checkOrder(executions []hgstandin.Execution) {
	slices.SortFunc(executions, func(a, b hgstandin.Execution) int { return int(a.StartUs - b.StartUs) })
	for i := 1; i < len(executions); i++ {
		before, after := r.calls[executions[i-1].Request], r.calls[executions[i].Request]
		if after.Seq < before.Seq {
			r.violation("program %q: call %d started after call %d", after.Program, after.Seq, before.Seq)
		}
	}
}

func (r *Report) violation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}
