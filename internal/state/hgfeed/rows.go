package hgfeed

import (
	"sync"

	"hyssopgrade/hgstore"
)

// RowCache caches the decoded values of a table's rows by version, so that a change of one row costs no decoding of the
// others. The zero value is ready to use; it is safe for concurrent use.
type RowCache[T any] struct {
	mu      sync.Mutex
	decoded map[string]decodedRow[T]
}

type decodedRow[T any] struct {
	version uint64
	value   T
	ok      bool
}

// Decode returns the values of the given rows, in no order, and forgets all others. It calls decode for rows that are new
// or have another version than before; rows for which decode returns false are left out.
func (c *RowCache[T]) Decode(rows map[string]hgstore.Row, decode func(row hgstore.Row) (value T, ok bool)) (values []T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	decoded := make(map[string]decodedRow[T], len(rows))
	for key, row := range rows {
		r, known := c.decoded[key]
		if !known || r.version != row.Version {
			r.version = row.Version
			r.value, r.ok = decode(row)
		}
		decoded[key] = r
		if r.ok {
			values = append(values, r.value)
		}
	}
	c.decoded = decoded
	return values
}
