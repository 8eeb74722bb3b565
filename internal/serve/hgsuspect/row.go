package hgsuspect

import (
	"time"

	"github.com/samber/lo"
)

// Row is a durable record; its times are in Unix milliseconds.
type Row struct {
	Digest uint64     `json:"digest"`
	Breaks []RowBreak `json:"breaks"`
	Proof  RowProof   `json:"proof"`
}

// RowBreak is a break of a row.
type RowBreak struct {
	ID uint64 `json:"id"`
	At int64  `json:"at"`
	// Excused says that the break is not held against the request.
	Excused bool `json:"excused,omitempty"`
}

// RowProof is the proof of a row; Seq is 0 if there is none.
type RowProof struct {
	Seq uint64 `json:"seq"`
	ID  uint64 `json:"id"`
	At  int64  `json:"at"`
}

// RowOf returns the row of a record at a time of day.
func RowOf(r Record, now time.Time) Row {
	at := func(age time.Duration) int64 { return now.Add(-age).UnixMilli() }
	return Row{
		Digest: r.Digest,
		Breaks: lo.Map(r.Breaks, func(b Break, _ int) RowBreak { return RowBreak{ID: b.ID, At: at(b.Age), Excused: b.Excused} }),
		Proof:  RowProof{Seq: r.Proof.Seq, ID: r.Proof.ID, At: at(r.Proof.Age)},
	}
}

// Record returns what the row says at a time of day; what a clock puts into the future is new.
func (r Row) Record(now time.Time) Record {
	age := func(at int64) time.Duration { return max(now.Sub(time.UnixMilli(at)), 0) }
	return Record{
		Digest: r.Digest,
		Breaks: lo.Map(r.Breaks, func(b RowBreak, _ int) Break { return Break{ID: b.ID, Age: age(b.At), Excused: b.Excused} }),
		Proof:  Proof{Seq: r.Proof.Seq, ID: r.Proof.ID, Age: age(r.Proof.At)},
	}
}

// IsOld says whether the row counts no longer.
func (r Row) IsOld(now time.Time) bool {
	newest := lo.Max(append(lo.Map(r.Breaks, func(b RowBreak, _ int) int64 { return b.At }), r.Proof.At))
	return now.Sub(time.UnixMilli(newest)) > keepFor
}
