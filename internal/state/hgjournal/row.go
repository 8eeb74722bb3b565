package hgjournal

import (
	"fmt"

	"hyssopgrade/hgcodec"
	"hyssopgrade/hgprogram"
)

// Prefixes of the journal's rows and objects.
const (
	ShardPrefix   = "shard/"
	BatchPrefix   = "batch/"
	segmentPrefix = "segment-"
)

// Writer is a node's run whose batches may hold records of a shard, from a batch number on.
type Writer struct {
	Run  string `json:"run"`
	From uint64 `json:"from"`
}

// ShardRow is the durable ownership of one shard.
type ShardRow struct {
	Epoch   uint64   `json:"epoch"`
	Owner   string   `json:"owner"`
	Run     string   `json:"run"`
	Writers []Writer `json:"writers"`
	// Segment names the object with the state before the writers' records.
	Segment string `json:"segment,omitempty"`
	// Nonce tells one's own write of the row from another's.
	Nonce string `json:"nonce"`
}

// Entry is one shard's records in a batch.
type Entry struct {
	Shard   uint32             `cbor:"1,keyasint"`
	Records []hgprogram.Record `cbor:"2,keyasint"`
	// version is that of the shard's row when the entry was taken for a batch.
	version uint64
}

// Batch is one group commit.
type Batch struct {
	Entries []Entry `cbor:"1,keyasint"`
}

// Codecs of the journal's rows and objects.
var (
	ShardRowCodec hgcodec.JSON[ShardRow]
	BatchCodec    hgcodec.CBOR[Batch]
	SnapshotCodec hgcodec.CBOR[hgprogram.Snapshot]
)

// ShardKey returns the key of a shard's row.
func ShardKey(shard uint32) string { return fmt.Sprintf("%s%05d", ShardPrefix, shard) }

func batchKey(run string, n uint64) string { return fmt.Sprintf("%s%s/%016d", BatchPrefix, run, n) }

func segmentName(shard uint32, epoch, n uint64) string {
	return fmt.Sprintf("%s%05d-%d-%d", segmentPrefix, shard, epoch, n)
}
