package hgledger

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/state/hgturn"
)

// trimDivisor is the divisor of the limit for the part of it that is freed beyond the excess, so that not every further turn drops texts.
const trimDivisor = 4

// texts bounds the text of stored turns that a ledger keeps in memory. The store has it too, so that it can be dropped.
type texts struct {
	// limit is the number of bytes; 0 means no limit. dropped is called with the number of programs whose texts were dropped.
	limit   int64
	dropped func(programs int)
	size    atomic.Int64
	// trimming is set while texts are dropped.
	trimming atomic.Bool
}

// textBytes returns the size of a turn's text.
func textBytes(t hgturn.Turn) int64 { return int64(len(t.Input) + len(t.Output)) }

// keepTurns keeps the text of stored turns of a program in memory. The caller holds the lock of p.
func (l *Ledger) keepTurns(p *program, turns ...hgturn.Turn) {
	for _, t := range turns {
		change := textBytes(t) - textBytes(p.turns[t.ID])
		p.turns[t.ID] = t
		delete(p.droppedTurns, t.ID)
		p.textBytes += change
		l.texts.size.Add(change)
	}
}

// dropTurns drops the text of the program's turns from memory and remembers their rows. The caller holds the lock of p.
func (l *Ledger) dropTurns(p *program) (err error) {
	for id, t := range p.turns {
		rows, err := textPuts(homePartition(p.id), p.id, t)
		if err != nil {
			return err
		}
		p.droppedTurns[id] = len(rows)
	}
	l.texts.size.Add(-p.textBytes)
	p.turns, p.textBytes = hgturn.Tree{}, 0
	return nil
}

// storedKeys returns the keys of all rows of the program's turns in its home partition. The caller holds the lock of p.
func storedKeys(p *program) (keys []string, err error) {
	home := homePartition(p.id)
	rows := lo.Assign(p.droppedTurns)
	for id, t := range p.turns {
		puts, err := textPuts(home, p.id, t)
		if err != nil {
			return nil, err
		}
		rows[id] = len(puts)
	}
	for id, n := range rows {
		for i := range n {
			keys = append(keys, programPrefix(home, p.id)+chunkKey(id, i))
		}
		keys = append(keys, turnKey(home, id))
	}
	return keys, nil
}

// trimTexts drops the texts of the programs that were used longest ago if all texts exceed the limit. Programs that are locked keep
// theirs; the caller holds no lock.
func (l *Ledger) trimTexts() {
	if l.texts.limit == 0 || l.texts.size.Load() <= l.texts.limit || !l.texts.trimming.CompareAndSwap(false, true) {
		return
	}
	defer l.texts.trimming.Store(false)
	type candidate struct {
		p        *program
		lastUsed time.Duration
	}
	var candidates []candidate
	for _, p := range l.all() {
		if p.tryLock() {
			if p.textBytes > 0 {
				candidates = append(candidates, candidate{p, p.lastUsed})
			}
			p.unlock()
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.lastUsed, b.lastUsed) })
	goal := l.texts.limit - l.texts.limit/trimDivisor
	dropped := 0
	for _, c := range candidates {
		if l.texts.size.Load() <= goal {
			break
		}
		if !c.p.tryLock() {
			continue
		}
		if err := l.dropTurns(c.p); err != nil {
			l.log.Warn("cannot drop texts of turns from memory", "program", c.p.id, "error", err)
		} else {
			dropped++
		}
		c.p.unlock()
	}
	if dropped > 0 {
		l.texts.dropped(dropped)
	}
}
