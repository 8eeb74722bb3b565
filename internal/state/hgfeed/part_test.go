package hgfeed_test

import (
	"testing"

	"hyssopgrade/hgstore"
)

// Guards against a row of another writer in another partition of the table that the watch takes for one of the rows that it lists.
func TestRowsOfOtherPartitionsAreIgnored(t *testing.T) {
	m := hgstore.NewMemory()
	commit(t, m, put("t/listed/x"))
	_, v := start(t, m)
	wantKeys(t, v)
	commit(t, m, put("t/changed/x"))
	commit(t, m, put("t//a"))
	wantKeys(t, v, "t//a")
	commit(t, m, hgstore.Txn{Deletes: []string{"t/changed/x"}})
	commit(t, m, put("t//b"))
	wantKeys(t, v, "t//a", "t//b")
}
