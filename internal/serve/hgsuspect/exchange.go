package hgsuspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Lists are synchronized by exchanges between pairs of peers. An offer contains the changes made at the sender's own VM, and the
// answer contains the changes to the receiver's list that the sender does not have. Records in a lost message are sent again with
// the next exchange, and a list that starts empty receives all records.

// maxRecords bounds the records of one message; further ones follow with the next messages.
const maxRecords = 200

// Crash is a suspected crash of a replica while it ran a request. Ages instead of times keep records independent of the clocks
// of VMs.
type Crash struct {
	ID  uint64
	Age time.Duration
	// Excused says that the crash does not count against the request, because the service was failing.
	Excused bool
}

// Proof is the last completed run of a request; Seq is 0 if there was none.
type Proof struct {
	Seq, ID uint64
	Age     time.Duration
}

// Record is the encoded form of an entry: the crashes and the proof of the requests with a digest.
type Record struct {
	Digest uint64
	Breaks []Crash
	Proof  Proof
}

// Cursor is a position in the sequence of changes of one list. Run is the random identifier of that list, and Number the number
// of the last change that is known. Run is 0 if nothing is known.
type Cursor struct{ Run, Number uint64 }

// Exchange is the message of both directions: an offer to a peer, or the answer to an offer.
type Exchange struct {
	// Known is set in offers: the position up to which the sender has the receiver's list. Taken is set in answers: the
	// position up to which the sender of the answer has merged the list of the offer's sender.
	Known, Taken Cursor
	// Now is the position in the sender's list that the receiver reaches by merging this message. In offers it refers only to
	// changes made at the sender's own VM. Its Run is 0 if the position does not change.
	Now Cursor
	// Print is the fingerprint of the sender's list; lists with the same one need not exchange records.
	Print   uint64
	Records []Record
}

// peer is the progress of the exchanges with one peer.
type peer struct {
	// known is the position up to which this list has the peer's list. acked is the position up to which the peer has this
	// list's own changes.
	known, acked Cursor
}

// peer returns the progress with a peer and creates it if there is none; l.mu is held.
func (l *List) peer(name string) *peer {
	p, ok := l.peers[name]
	if !ok {
		p = &peer{}
		l.peers[name] = p
	}
	return p
}

// Offer returns the message to send to a peer, with the changes made at this VM that the peer has not acknowledged.
func (l *List) Offer(name string) Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peer(name)
	records, now := l.changesSince(p.acked, func(e *entry) uint64 { return e.localNumber })
	offer := Exchange{Known: p.known, Print: l.fingerprint, Records: records}
	if len(records) > 0 {
		offer.Now = now
	}
	return offer
}

// HandleOffer merges a peer's offer and returns the answer to send back.
func (l *List) HandleOffer(name string, offer Exchange) Exchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.merge(name, offer.Records)
	answer := Exchange{Taken: offer.Now, Print: l.fingerprint}
	now := Cursor{l.run, l.lastNumber}
	if offer.Print != l.fingerprint {
		answer.Records, now = l.changesSince(offer.Known, func(e *entry) uint64 { return e.changeNumber })
	}
	if now != offer.Known && l.lastNumber > 0 {
		answer.Now = now
	}
	return answer
}

// HandleAnswer merges a peer's answer to an offer.
func (l *List) HandleAnswer(name string, answer Exchange) {
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

// Retain drops the exchange progress of all peers except those in names.
func (l *List) Retain(names map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.peers {
		if !names[name] {
			delete(l.peers, name)
		}
	}
}

// advance returns the further one of two cursors with the same Run, and to if their Runs differ.
func (c Cursor) advance(to Cursor) Cursor {
	if c.Run == to.Run && c.Number > to.Number {
		return c
	}
	return to
}

// changesSince returns up to maxRecords records of entries whose number is beyond a cursor, lowest numbers first if there are
// more, and the cursor after them; l.mu is held.
func (l *List) changesSince(known Cursor, number func(e *entry) uint64) (records []Record, now Cursor) {
	now = Cursor{Run: l.run, Number: l.lastNumber}
	if known.Run != l.run {
		known = Cursor{Run: l.run}
	}
	if known.Number >= l.lastNumber {
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

// merge merges records from a source into the list; l.mu is held.
func (l *List) merge(source string, records []Record) {
	now := l.timer.Now()
	for _, r := range records {
		l.mergeRecord(source, r, now)
	}
}

// mergeRecord merges one record into its entry and returns the entry; l.mu is held.
func (l *List) mergeRecord(source string, r Record, now time.Duration) *entry {
	e := l.entry(r.Digest, now)
	l.change(r.Digest, e, now, source, func() { e.merge(r, now) })
	for _, c := range e.crashes {
		l.ends.merge(c)
	}
	l.addProof(r.Digest, e, now)
	return e
}

// merge adds the crashes of a record and takes its proof if that is newer.
func (e *entry) merge(r Record, now time.Duration) {
	for _, c := range r.Breaks {
		e.addCrash(crash{id: c.ID, at: now - c.Age, excused: c.Excused})
	}
	if p := (proof{seq: r.Proof.Seq, id: r.Proof.ID, at: now - r.Proof.Age}); p.isNewer(e.proof) {
		e.proof = p
	}
}

// record returns the entry in its encoded form.
func (e *entry) record(digest uint64, now time.Duration) Record {
	return Record{
		Digest: digest,
		Breaks: lo.Map(e.crashes, func(c crash, _ int) Crash { return Crash{ID: c.id, Age: now - c.at, Excused: c.excused} }),
		Proof:  Proof{Seq: e.proof.seq, ID: e.proof.id, Age: lo.Ternary(e.proof.seq > 0, now-e.proof.at, 0)},
	}
}
