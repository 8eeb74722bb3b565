package hgprogram

import (
	"hyssopgrade/hgcall"
)

// RecordType says what a record changes.
type RecordType uint8

// The types of records.
const (
	// Opened adds a program.
	Opened RecordType = iota + 1
	// Intent opens a call and reserves its tokens.
	Intent
	// Outcome closes a call and settles its tokens.
	Outcome
	// Abandoned closes an idempotent call whose dispatch was lost, so that it can run again; its reservation counts as spent.
	Abandoned
	// Ended ends a program.
	Ended
	// Forgotten removes a program.
	Forgotten
	// Charged spends tokens of dispatches whose outcomes were lost; it stands in snapshots only.
	Charged
	// Renewed proves that the shard was still owned after an intent; it changes nothing else.
	Renewed
)

// Record is one durable change of a shard.
type Record struct {
	// N counts the shard's records over all its owners, from 1.
	N          uint64           `cbor:"1,keyasint"`
	Type       RecordType       `cbor:"2,keyasint"`
	Program    string           `cbor:"3,keyasint"`
	Seq        uint64           `cbor:"4,keyasint,omitempty"`
	Request    string           `cbor:"5,keyasint,omitempty"`
	Digest     string           `cbor:"6,keyasint,omitempty"`
	Kind       hgcall.Kind      `cbor:"7,keyasint,omitempty"`
	Target     string           `cbor:"8,keyasint,omitempty"`
	Idempotent bool             `cbor:"9,keyasint,omitempty"`
	Messages   []hgcall.Message `cbor:"10,keyasint,omitempty"`
	Body       []byte           `cbor:"11,keyasint,omitempty"`
	// Tokens is a program's budget in Opened, the reservation in Intent and the tokens spent in Outcome and Abandoned.
	Tokens uint64 `cbor:"12,keyasint,omitempty"`
	// Result is the call's result in Outcome.
	Result *hgcall.Result `cbor:"13,keyasint,omitempty"`
}

// Snapshot is the state of a shard up to its record N, as records that rebuild it.
type Snapshot struct {
	N       uint64   `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
}
