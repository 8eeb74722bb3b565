package hgloss

import (
	"net/http"
	"time"

	"hyssopgrade/internal/operate/hgexplain"
)

// request is the log line of one request of a program.
type request struct {
	program, session, route string
	status                  int
	end                     time.Time
	took, aimLeft           time.Duration
	open, place, head, keep time.Duration
	// miss is the number of prompt tokens that the replica had to read.
	miss   int
	isTurn bool
}

func toRequest(l hgexplain.Line, _ int) (r request, ok bool) {
	r.program, _ = l.Fields["program"].(string)
	if l.Msg != "request" || r.program == "" {
		return r, false
	}
	r.session, _ = l.Fields["session"].(string)
	r.route, _ = l.Fields["route"].(string)
	r.status = int(number(l, "status"))
	r.end = l.Time
	r.took, r.aimLeft = millis(l, "ms"), millis(l, "aimLeftMs")
	r.open, r.place, r.head, r.keep = millis(l, "openMs"), millis(l, "placeMs"), millis(l, "headMs"), millis(l, "keepMs")
	r.miss = int(number(l, "miss"))
	r.isTurn = number(l, "prompt") > 0
	return r, true
}

// number reads a number of a line; one that is not there is 0, as the log leaves out what does not apply.
func number(l hgexplain.Line, name string) float64 {
	v, _ := l.Fields[name].(float64)
	return v
}

func millis(l hgexplain.Line, name string) time.Duration {
	return time.Duration(number(l, name) * float64(time.Millisecond))
}

func (r request) start() time.Time { return r.end.Add(-r.took) }

func (r request) times() Times {
	if !r.isTurn {
		return Times{Tools: r.took}
	}
	read := min(time.Duration(r.miss)*readPerToken, r.head)
	return Times{
		Open: r.open, Place: r.place, Keep: r.keep, Read: read, Queue: r.head - read, Decode: max(r.took-r.open-r.place-r.head-r.keep, 0),
	}
}

// ending says how a program ended whose last request this is.
func (r request) ending() End {
	switch {
	case r.status == http.StatusPaymentRequired:
		return Spent
	case r.status != http.StatusOK:
		return Failed
	case r.aimLeft > 0 && r.took > r.aimLeft, r.aimLeft == 0:
		return Late
	}
	return InTime
}
