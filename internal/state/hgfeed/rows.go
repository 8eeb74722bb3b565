package hgfeed

import (
	"sync"

	"hyssopgrade/hgstore"
)

// Rows keeps what the rows of a table say, so that a change of one row costs no decoding of the others. The zero value
// is ready; it is safe for concurrent use.
type Rows[T any] struct {
	mu      sync.Mutex
	decoded map[string]decodedRow[T]
}

type decodedRow[T any] struct {
	version uint64
	value   T
	ok      bool
}

// Decode returns what all rows say but those for which decode, which is called for rows of another version, is not ok.
func (d *Rows[T]) Decode(rows map[string]hgstore.Row, decode func(row hgstore.Row) (value T, ok bool)) (values []T) {
	d.mu.Lock()
	defer d.mu.Unlock()
	decoded := make(map[string]decodedRow[T], len(rows))
	for key, row := range rows {
		r, known := d.decoded[key]
		if !known || r.version != row.Version {
			r.version = row.Version
			r.value, r.ok = decode(row)
		}
		decoded[key] = r
		if r.ok {
			values = append(values, r.value)
		}
	}
	d.decoded = decoded
	return values
}
