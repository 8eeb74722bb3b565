package hgloss

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Cause says why a program was late or failed.
type Cause string

// The causes of late programs name the phase in which the program lost the most time; those of failed programs name the
// reason of the answer to its last request. The values are printed in the table of WriteSeconds.
const (
	LateOpening   Cause = "open"
	LateStoring   Cause = "store"
	LatePlacement Cause = "place"
	LatePrefill   Cause = "read"
	LateQueue     Cause = "queue"
	LateDecode    Cause = "decode"
	LateBackoff   Cause = "away"
	LateTools     Cause = "tool"

	RefusedOutage     Cause = "outage"
	RefusedUndecided  Cause = "unsure"
	RefusedBusy       Cause = "busy"
	RefusedNoReplica  Cause = "noPlace"
	RefusedNotReady   Cause = "notReady"
	RefusedNoKey      Cause = "noKey"
	RefusedStale      Cause = "stale"
	RefusedOverCap    Cause = "overCap"
	RefusedNoCapOwner Cause = "noCapOwner"
	RefusedMemory     Cause = "memory"
	RefusedSlow       Cause = "slowBody"
	RefusedSize       Cause = "bodySize"
	FailedNotStored   Cause = "notStored"
	FailedBrokeOff    Cause = "brokeOff"
	FailedTool        Cause = "toolFailed"
	FailedOtherwise   Cause = "other"
	FailedTokenBudget Cause = "cutShort"
)

// reasons maps the beginnings of the reasons that entry VMs log to causes.
var reasons = []struct {
	prefix string
	cause  Cause
}{
	{"store is out of reach", RefusedOutage},
	{"state of the program is not known", RefusedUndecided},
	{"replicas are busy", RefusedBusy},
	{"no replica", RefusedNoReplica},
	{"the service has no replica", RefusedNoReplica},
	{"no desired state", RefusedNotReady},
	{"no key of a team", RefusedNoKey},
	{"desired state may be out of date", RefusedStale},
	{"team is over its usage cap", RefusedOverCap},
	{"usage cap of the team is not known", RefusedNoCapOwner},
	{"no memory is left for request bodies", RefusedMemory},
	{"body came too slowly", RefusedSlow},
	{"body is too large", RefusedSize},
	{"turn could not be kept", FailedNotStored},
	{"stream broke off: turn is longer", FailedTokenBudget},
	{"stream broke off", FailedBrokeOff},
	{"answer was lost", FailedBrokeOff},
}

// failureCause returns the cause of the failure of the program whose last request this is.
func (r request) failureCause() Cause {
	for _, reason := range reasons {
		if strings.HasPrefix(r.reason, reason.prefix) {
			return reason.cause
		}
	}
	if !r.isTurn && r.status != http.StatusServiceUnavailable {
		return FailedTool
	}
	return FailedOtherwise
}

// phases returns the times that may make a program late, by cause.
func (t Times) phases() map[Cause]time.Duration {
	return map[Cause]time.Duration{
		LateOpening: t.StateOpen, LateStoring: t.StateSave, LatePlacement: t.Placement, LatePrefill: t.Prefill,
		LateQueue: t.Queue, LateDecode: t.Decode, LateBackoff: t.Backoff, LateTools: t.Tools,
	}
}

// setLateCauses sets the causes of late programs: the phase whose time exceeds that of programs in time on the same route,
// turn by turn, by the most.
func setLateCauses(programs []Program) {
	usual := map[string]map[Cause]float64{}
	for _, g := range Groups(programs) {
		if g.Outcome == InTime {
			usual[g.Route] = lo.MapValues(g.Times.phases(), func(d time.Duration, _ Cause) float64 { return float64(d) / float64(max(g.Turns, 1)) })
		}
	}
	for i, p := range programs {
		if p.Outcome != Late {
			continue
		}
		phases := p.Times.phases()
		excess := func(c Cause) float64 { return float64(phases[c]) - usual[p.Route][c]*float64(p.Turns) }
		programs[i].Cause = slices.MaxFunc(lo.Keys(phases), func(a, b Cause) int { return cmp.Or(cmp.Compare(excess(a), excess(b)), cmp.Compare(a, b)) })
	}
}
