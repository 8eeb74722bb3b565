package hgjournal

import (
	"fmt"

	"hyssopgrade/hgcodec"
	"hyssopgrade/hgprogram"
)

// Prefixes of the keys of rows and of the names of objects that the journal writes.
const (
	ShardPrefix   = "shard/"
	BatchPrefix   = "batch/"
	segmentPrefix = "segment-"
)

// Writer names a run of a node whose batches may hold records of a shard, and the first such batch.
type Writer struct {
	Run  string `json:"run"`
	From uint64 `json:"from"`
}

// ShardRow is the row that says who owns a shard and where its records are.
type ShardRow struct {
	Epoch   uint64   `json:"epoch"`
	Owner   string   `json:"owner"`
	Run     string   `json:"run"`
	Writers []Writer `json:"writers"`
	// Segment names the object that holds the state from before the writers' records; it is empty before the first compaction.
	Segment string `json:"segment,omitempty"`
	// Nonce identifies the write, so that a writer whose reply was lost recognizes its own row.
	Nonce string `json:"nonce"`
}

// Entry is one shard's records in a batch.
type Entry struct {
	Shard   uint32             `cbor:"1,keyasint"`
	Records []hgprogram.Record `cbor:"2,keyasint"`
	// version is the version of the shard's row when the entry was put into a batch.
	version uint64
}

// Batch is the content of one group commit.
type Batch struct {
	Entries []Entry `cbor:"1,keyasint"`
}

// Codecs of the rows and objects that the journal writes.
var (
	ShardRowCodec hgcodec.JSON[ShardRow]
	BatchCodec    hgcodec.CBOR[Batch]
	SnapshotCodec hgcodec.CBOR[hgprogram.Snapshot]
)

// ShardKey returns the key of a shard's row; the number is padded, so that keys sort by shard.
func ShardKey(shard uint32) string { return fmt.Sprintf("%s%05d", ShardPrefix, shard) }

func batchKey(run string, n uint64) string { return fmt.Sprintf("%s%s/%016d", BatchPrefix, run, n) }

func segmentName(shard uint32, epoch, n uint64) string {
	return fmt.Sprintf("%s%05d-%d-%d", segmentPrefix, shard, epoch, n)
}
