package hginner

import (
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgmember"
	"hyssopgrade/hgpreset"
	"hyssopgrade/hgquarantine"
)

// Beat is one heartbeat, sent as question and as answer.
type Beat struct {
	hgmember.Heartbeat
	Preset hgpreset.Peer
	// InFlight are the sender's calls in flight, by endpoint.
	InFlight map[string]int
	// Held are the tokens that the sender's live programs hold, by endpoint.
	Held map[string]int
	// Leaving are the endpoints that the sender knows to be leaving.
	Leaving []string
	// Shards are the epochs of the shards that the sender owns.
	Shards map[uint32]uint64
	// Suspects are requests that endpoints died under.
	Suspects []hgquarantine.Suspect
}

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
