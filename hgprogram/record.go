package hgprogram

import (
	"hyssopgrade/hgcall"
)

// RecordType is what a record changes. Its values are stored.
type RecordType uint8

// The types of records.
const (
	// Opened adds a program with its budget.
	Opened RecordType = iota + 1
	// Intent opens a call and reserves its tokens. It is committed before the call is dispatched.
	Intent
	// Outcome closes a call with its result and replaces its reservation by the tokens that it used. Without an intent it is a
	// tombstone: the request will never run.
	Outcome
	// Abandoned closes a call without a result, so that it can run again. For an idempotent call whose dispatch was lost the
	// reservation counts as spent; a call that no endpoint ran costs nothing.
	Abandoned
	// Ended ends a program: it accepts no new calls.
	Ended
	// Evicted removes an idle program and its history.
	Evicted
	// Charged counts tokens as spent for dispatches whose outcomes were lost. It occurs in snapshots only.
	Charged
	// Renewed follows an intent that was not dispatched in time. It changes nothing: a commit of it shows that the node still
	// owned the shard at that later time, from which the dispatch window then counts.
	Renewed
)

// Record is one durable change of a shard.
type Record struct {
	// N is the record's number in the shard, from 1; it goes on when the owner changes.
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

// Snapshot holds the records that rebuild the state of a shard as of its record N.
type Snapshot struct {
	N       uint64   `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
}
