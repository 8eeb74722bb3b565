package hgsuspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Lists are brought into agreement by exchanges between pairs of peers: an offer pushes what has changed at one list, and the
// answer returns what the other knows beyond that. What is lost with a message is sent again by the next exchange, and a list
// that starts anew gets all.

// maxRecords bounds the records of one message; the others follow with the next ones.
const maxRecords = 200

// Break is a replica that broke off under a request, some time ago.
type Break struct {
	ID  uint64
	Age time.Duration
	// Excused says that the break is not held against the request.
	Excused bool
}

// Proof is the last run of a request that came to its end, some time ago; Seq is 0 if there was none.
type Proof struct {
	Seq, ID uint64
	Age     time.Duration
}

// Record is what a list tells of a request.
type Record struct {
	Digest uint64
	Breaks []Break
	Proof  Proof
}

// Cursor is how far the changes of a list are known; without a run nothing is.
type Cursor struct{ Run, Number uint64 }

// Exchange is an offer to a peer, or the answer to one.
type Exchange struct {
	// Known is how far the sender of an offer knows the receiver's list, and Taken, in an answer, what it has taken of the offer.
	Known, Taken Cursor
	// Now is how far the receiver knows the sender's list with this message, of an offer only the sender's own changes; without
	// a run no further than before.
	Now Cursor
	// Print is the fingerprint of the sender's list.
	Print   uint64
	Records []Record
}

// peer is what is known of another list.
type peer struct {
	// known is how far this list holds what the peer's does, and acked how far the peer has taken this list's own changes.
	known, acked Cursor
}

func (l *List) peer(name string) *peer {
	p, ok := l.peers[name]
	if !ok {
		p = &peer{}
		l.peers[name] = p
	}
	return p
}

// Offer returns what to send to a peer.
func (l *List) Offer(name string) Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(name)
	records, now := l.since(p.acked, func(e *entry) uint64 { return e.own })
	offer := Exchange{Known: p.known, Print: l.print, Records: records}
	if len(records) > 0 {
		offer.Now = now
	}
	return offer
}

// Answer takes a peer's offer and returns the answer.
func (l *List) Answer(name string, offer Exchange) Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.merge(name, offer.Records)
	answer := Exchange{Taken: offer.Now, Print: l.print}
	now := Cursor{l.run, l.last}
	if offer.Print != l.print {
		answer.Records, now = l.since(offer.Known, func(e *entry) uint64 { return e.number })
	}
	if now != offer.Known && l.last > 0 {
		answer.Now = now
	}
	return answer
}

// Take takes a peer's answer to an offer.
func (l *List) Take(name string, answer Exchange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(name)
	l.merge(name, answer.Records)
	if answer.Now.Run != 0 {
		p.known = p.known.advance(answer.Now)
	}
	if answer.Taken.Run == l.run {
		p.acked = p.acked.advance(answer.Taken)
	}
}

// Retain forgets the peers that are not named.
func (l *List) Retain(names map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.peers {
		if !names[name] {
			delete(l.peers, name)
		}
	}
}

// advance returns the cursor that is further, or the one of the newer run.
func (c Cursor) advance(to Cursor) Cursor {
	if c.Run == to.Run && c.Number > to.Number {
		return c
	}
	return to
}

// since returns the entries whose number is beyond a cursor, the first ones, and the cursor with them; l.mu is held.
func (l *List) since(known Cursor, number func(e *entry) uint64) (records []Record, now Cursor) {
	now = Cursor{Run: l.run, Number: l.last}
	if known.Run != l.run {
		known = Cursor{Run: l.run}
	}
	if known.Number >= l.last {
		return nil, now
	}
	var changed []uint64
	for digest, e := range l.entries {
		if number(e) > known.Number {
			changed = append(changed, digest)
		}
	}
	if len(changed) > maxRecords {
		slices.SortFunc(changed, func(a, b uint64) int { return cmp.Compare(number(l.entries[a]), number(l.entries[b])) })
		changed = changed[:maxRecords]
		now.Number = number(l.entries[changed[maxRecords-1]])
	}
	return lo.Map(changed, func(digest uint64, _ int) Record { return l.entries[digest].record(digest, l.timer.Now()) }), now
}

// merge takes over records from a source; l.mu is held.
func (l *List) merge(source string, records []Record) {
	now := l.timer.Now()
	for _, r := range records {
		l.mergeOne(source, r, now)
	}
}

func (l *List) mergeOne(source string, r Record, now time.Duration) *entry {
	e := l.entry(r.Digest, now)
	l.change(r.Digest, e, now, source, func() { e.merge(r, now) })
	return e
}

// merge takes over what a record says.
func (e *entry) merge(r Record, now time.Duration) {
	for _, b := range r.Breaks {
		e.addBreak(lostRun{id: b.ID, at: now - b.Age, excused: b.Excused})
	}
	if p := (proof{seq: r.Proof.Seq, id: r.Proof.ID, at: now - r.Proof.Age}); p.isNewer(e.proof) {
		e.proof = p
	}
}

func (e *entry) record(digest uint64, now time.Duration) Record {
	return Record{
		Digest: digest,
		Breaks: lo.Map(e.breaks, func(b lostRun, _ int) Break { return Break{ID: b.id, Age: now - b.at, Excused: b.excused} }),
		Proof:  Proof{Seq: e.proof.seq, ID: e.proof.id, Age: lo.Ternary(e.proof.seq > 0, now-e.proof.at, 0)},
	}
}
