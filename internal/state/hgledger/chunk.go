package hgledger

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"hyssopgrade/internal/state/hgturn"
)

// Values of the first byte of each row of a turn: the row is the last one of the turn, or more follow.
const (
	lastChunk byte = iota
	moreChunks
)

// chunkKey returns the end of the key of a turn's row, behind the prefix of its program.
func chunkKey(turn string, i int) string { return fmt.Sprintf("t/%s/%03d", keyID(turn), i) }

// chunks joins the rows of turns, which come in the order of their keys.
type chunks struct {
	// turn is the turn's part of the keys, data the content of the rows so far, and rows their number.
	turn string
	data []byte
	rows int
}

// add adds a row by the end of its key, and returns the turn if the row completes one. An error says that the row, or the rows before
// it, belong to no turn.
func (c *chunks) add(key string, value []byte) (turn hgturn.Turn, complete bool, err error) {
	// A key of another form may sort between the rows of a turn.
	if strings.Count(key, "/") != 2 {
		return turn, false, trace.BadParameter("no key of a turn")
	}
	name := key[:strings.LastIndexByte(key, '/')]
	if name != c.turn {
		*c = chunks{turn: name}
	}
	if key != fmt.Sprintf("%s/%03d", name, c.rows) || len(value) == 0 || value[0] > moreChunks {
		return turn, false, trace.BadParameter("no row of a turn, behind %d rows", c.rows)
	}
	c.data = append(c.data, value[1:]...)
	c.rows++
	if value[0] == moreChunks {
		return turn, false, nil
	}
	if turn, err = turnCodec.Decode(c.data); err != nil {
		return turn, false, err
	}
	if key != chunkKey(turn.ID, c.rows-1) {
		return turn, false, trace.BadParameter("row of turn %s under another key", turn.ID)
	}
	return turn, true, nil
}
