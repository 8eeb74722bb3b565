package hginner

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

// Beat is one heartbeat, sent as question and as answer; of two nodes the one with the lesser name asks.
type Beat struct {
	hgmember.Heartbeat
	Preset hgpreset.Peer
	// Stamp is the sender's time, for the receiver to send back; it means nothing to others.
	Stamp time.Duration
	// Echo is the receiver's last Stamp that the sender had, from the run EchoRun; this message was made after it.
	Echo    time.Duration
	EchoRun string
	// Loads are the sender's loads on the endpoints, in the order of their names.
	Loads Loads
	// Leaving are the endpoints that the sender knows to be leaving.
	Leaving []string
	// Shards are the epochs of the shards that the sender owns.
	Shards map[uint32]uint64
	// Suspects are requests that endpoints died under.
	Suspects []hgquarantine.Suspect
}

// Turn asks for a copy of a request to run, or tells that it has ended.
type Turn struct {
	Key    hgquarantine.Key
	Holder hgquarantine.Holder
	// Proven tells that an ended copy has run without harm.
	Proven bool
}

// TurnReply tells whether the copy may run.
type TurnReply struct{ OK bool }

// Loads are loads on endpoints by their place among the names, without the names themselves.
type Loads struct {
	// Names is a hash of the names; loads of nodes with other settings are ignored.
	Names uint64
	// Calls are the calls in flight.
	Calls []uint16
	// Held are the tokens that live programs hold, in units of HeldUnit.
	Held []uint16
}

// HeldUnit is the unit of Loads.Held, in tokens.
const HeldUnit = 1000

// NewLoads returns the loads on the named endpoints, which are in order.
func NewLoads(names []string, calls, held map[string]int) Loads {
	l := Loads{Names: hashNames(names), Calls: make([]uint16, len(names)), Held: make([]uint16, len(names))}
	for i, id := range names {
		l.Calls[i] = uint16(min(calls[id], math.MaxUint16))
		l.Held[i] = uint16(min((held[id]+HeldUnit/2)/HeldUnit, math.MaxUint16))
	}
	return l
}

// Maps returns the loads by name; ok is false for loads on other endpoints.
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

// PresetReply carries the version that a node applies and how long ago it was confirmed.
type PresetReply struct {
	Version hgpreset.Version
	Age     time.Duration
}

// Empty is a message without content.
type Empty struct{}

// Frame is one part of a forwarded call's answer; the last frame has one of the fields after Piece.
type Frame struct {
	Piece    string          `json:"piece,omitempty"`
	Result   *hgcall.Result  `json:"result,omitempty"`
	Refusal  *hgcall.Refusal `json:"refusal,omitempty"`
	NotOwner bool            `json:"notOwner,omitempty"`
}
