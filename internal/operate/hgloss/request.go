package hgloss

import (
	"net/http"
	"time"

	"hyssopgrade/internal/operate/hgexplain"
)

// request is the log line that an entry VM writes at the end of a request of a program.
type request struct {
	program, session, route, reason string
	status                          int
	end                             time.Time
	took, deadlineLeft              time.Duration
	// open and save are the time for the turn in the ledger before and after the request, place the wait for a replica,
	// and head the time from the dispatch to the head of the last answer.
	open, place, head, save time.Duration
	// miss is the number of prompt tokens that were not expected to be in the replica's cache.
	miss   int
	isTurn bool
}

// parseRequest returns the request of a log line; ok is false for other lines and for requests without a program.
func parseRequest(l hgexplain.Line, _ int) (r request, ok bool) {
	r.program, _ = l.Fields["program"].(string)
	if l.Msg != "request" || r.program == "" {
		return r, false
	}
	r.session, _ = l.Fields["session"].(string)
	r.route, _ = l.Fields["route"].(string)
	r.reason, _ = l.Fields["reason"].(string)
	r.status = int(number(l, "status"))
	r.end = l.Time
	r.took, r.deadlineLeft = millis(l, "ms"), millis(l, "aimLeftMs")
	r.open, r.place, r.head, r.save = millis(l, "openMs"), millis(l, "placeMs"), millis(l, "headMs"), millis(l, "keepMs")
	r.miss = int(number(l, "miss"))
	r.isTurn = number(l, "prompt") > 0
	return r, true
}

// number returns a numeric field of a line, and 0 if the line has none: fields that do not apply are not logged.
func number(l hgexplain.Line, name string) float64 {
	v, _ := l.Fields[name].(float64)
	return v
}

func millis(l hgexplain.Line, name string) time.Duration {
	return time.Duration(number(l, name) * float64(time.Millisecond))
}

func (r request) start() time.Time { return r.end.Add(-r.took) }

// times returns the time of the request by phase. Engines read a prompt token in perToken.
func (r request) times(perToken time.Duration) Times {
	if !r.isTurn {
		return Times{Tools: r.took}
	}
	prefill := min(time.Duration(r.miss)*perToken, r.head)
	return Times{
		StateOpen: r.open, Placement: r.place, StateSave: r.save, Prefill: prefill, Queue: r.head - prefill,
		Decode: max(r.took-r.open-r.place-r.head-r.save, 0),
	}
}

// outcome returns the outcome of the program whose last request this is.
func (r request) outcome() Outcome {
	switch {
	case r.status == http.StatusPaymentRequired:
		return BudgetSpent
	case r.status != http.StatusOK:
		return Failed
	case r.deadlineLeft > 0 && r.took > r.deadlineLeft, r.deadlineLeft == 0:
		return Late
	}
	return InTime
}
