package hgnoderpc

import (
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgmember"
	"hyssopgrade/hgpreset"
	"hyssopgrade/hgquarantine"
)

// Beat is a heartbeat, sent both as a request and as its reply. Of two nodes, the one whose name sorts first sends the request.
type Beat struct {
	hgmember.Heartbeat
	Preset hgpreset.PeerStatus
	// Stamp is the sender's monotonic time, which the receiver sends back as Echo; it means nothing to other nodes.
	Stamp time.Duration
	// Echo is the last Stamp that the sender got from the receiver, and EchoRun the run of the receiver that set it. The
	// receiver knows by them that this message was made after that time.
	Echo    time.Duration
	EchoRun string
	// Loads are the loads that the sender puts on the endpoints.
	Loads Loads
	// Leaving are the endpoints that the sender knows from its own sources to be leaving.
	Leaving []string
	// Shards maps the shards that the sender owns to their epochs.
	Shards map[uint32]uint64
	// Suspects are requests that were running when an endpoint died.
	Suspects []hgquarantine.Suspect
}

// Turn asks whether a copy of a request may run now, or reports that the copy has ended. Copies of a request run one after
// the other until one of them has proven harmless.
type Turn struct {
	Key    hgquarantine.Key
	Holder hgquarantine.Holder
	// Proven reports that a copy that ended did not crash its endpoint.
	Proven bool
}

// TurnReply reports whether the copy may run now.
type TurnReply struct{ OK bool }

// Loads are loads on endpoints, each at its endpoint's index in the sorted list of names; the names are not sent.
type Loads struct {
	// Names is a hash of the names, by which a node ignores loads from nodes whose settings list other endpoints.
	Names uint64
	// Calls are the numbers of calls in flight.
	Calls []uint16
	// Held are the tokens that live programs hold, in units of HeldUnit.
	Held []uint16
}

// HeldUnit is the number of tokens in one unit of Loads.Held.
const HeldUnit = 1000

// NewLoads returns the loads on the named endpoints; the names must be sorted. Values are rounded to units and capped at 65535.
func NewLoads(names []string, calls, held map[string]int) Loads {
	l := Loads{Names: hashNames(names), Calls: make([]uint16, len(names)), Held: make([]uint16, len(names))}
	for i, id := range names {
		l.Calls[i] = uint16(min(calls[id], math.MaxUint16))
		l.Held[i] = uint16(min((held[id]+HeldUnit/2)/HeldUnit, math.MaxUint16))
	}
	return l
}

// Maps returns the calls and the tokens held by endpoint name; ok is false if the loads are those of other endpoints.
func (l Loads) Maps(names []string) (calls, held map[string]int, ok bool) {
	if l.Names != hashNames(names) || len(l.Calls) != len(names) || len(l.Held) != len(names) {
		return nil, nil, false
	}
	calls, held = map[string]int{}, map[string]int{}
	for i, id := range names {
		calls[id], held[id] = int(l.Calls[i]), HeldUnit*int(l.Held[i])
	}
	return calls, held, true
}

func hashNames(names []string) uint64 { return xxhash.Sum64String(strings.Join(names, "\x00")) }

// PresetReply carries the version of the preset that a node applies, and the time since the node last knew it to be the
// newest.
type PresetReply struct {
	Version hgpreset.Version
	Age     time.Duration
}

// Empty is the request or reply of methods that have none.
type Empty struct{}

// Frame is one line of the answer to a forwarded request. Frames with a Piece stream the output; the last frame has one of
// the other fields.
type Frame struct {
	Piece    string          `json:"piece,omitempty"`
	Result   *hgcall.Result  `json:"result,omitempty"`
	Refusal  *hgcall.Refusal `json:"refusal,omitempty"`
	NotOwner bool            `json:"notOwner,omitempty"`
}
