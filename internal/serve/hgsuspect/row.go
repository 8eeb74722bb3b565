package hgsuspect

import (
	"time"

	"github.com/samber/lo"
)

// Row is the stored form of a Record; its times are in Unix milliseconds.
type Row struct {
	Digest uint64     `json:"digest"`
	Breaks []RowCrash `json:"breaks"`
	Proof  RowProof   `json:"proof"`
}

// RowCrash is the stored form of a Crash.
type RowCrash struct {
	ID uint64 `json:"id"`
	At int64  `json:"at"`
	// Excused says that the crash does not count against the request, because the service was failing.
	Excused bool `json:"excused,omitempty"`
}

// RowProof is the stored form of a Proof; Seq is 0 if there is none.
type RowProof struct {
	Seq uint64 `json:"seq"`
	ID  uint64 `json:"id"`
	At  int64  `json:"at"`
}

// NewRow converts a record to a row; now is the wall-clock time at which the ages of the record hold.
func NewRow(r Record, now time.Time) Row {
	at := func(age time.Duration) int64 { return now.Add(-age).UnixMilli() }
	return Row{
		Digest: r.Digest,
		Breaks: lo.Map(r.Breaks, func(c Crash, _ int) RowCrash { return RowCrash{ID: c.ID, At: at(c.Age), Excused: c.Excused} }),
		Proof:  RowProof{Seq: r.Proof.Seq, ID: r.Proof.ID, At: at(r.Proof.Age)},
	}
}

// Record converts a row to a record with ages as of now. Times in the future, from a VM with a different clock, count as now.
func (r Row) Record(now time.Time) Record {
	age := func(at int64) time.Duration { return max(now.Sub(time.UnixMilli(at)), 0) }
	return Record{
		Digest: r.Digest,
		Breaks: lo.Map(r.Breaks, func(c RowCrash, _ int) Crash { return Crash{ID: c.ID, Age: age(c.At), Excused: c.Excused} }),
		Proof:  Proof{Seq: r.Proof.Seq, ID: r.Proof.ID, Age: age(r.Proof.At)},
	}
}

// IsOld reports whether the last crash or proof of the row is further from now than the retention time, so that the row can be
// removed. The clocks of VMs do not differ by as much.
func (r Row) IsOld(now time.Time) bool {
	newest := lo.Max(append(lo.Map(r.Breaks, func(c RowCrash, _ int) int64 { return c.At }), r.Proof.At))
	return now.Sub(time.UnixMilli(newest)).Abs() > retention
}
