package hgaccount_test

import "hyssopgrade/internal/state/hgaccount"

// A bounded model checker for the budget: several ledgers serve one program through one versioned row. All
// interleavings up to a small bound are explored, with writes whose replies are lost, writes that are applied late and
// ledgers that crash.
const (
	modelBudget    = 5
	modelMaxTokens = 2
	// numLedgers is the number of ledgers. Each crashes at most once and is not replaced.
	numLedgers = 2
	// maxOpen bounds the open turns of a ledger, maxSteps the length of a history, and maxKeptSteps that of one with kept turns,
	// which have more ways to end.
	maxOpen      = 2
	maxSteps     = 9
	maxKeptSteps = 7
	// maxDelayed bounds the writes without a reply that are not applied yet.
	maxDelayed = 1
)

// row is the program's row, in the store or as a ledger last read it.
type row struct {
	version uint8
	claimed [numLedgers]int8
	closed  bool
}

type ledger struct {
	// rowKnown is set if row is the result of the last read or write.
	crashed, rowKnown bool
	row               row
	account           hgaccount.Account
	reduction         hgaccount.Reduction
	// open is the number of open turns with a reservation of modelMaxTokens, short that of turns with one token, which may be
	// extended.
	open, short int8
}

// delayedWrite is a write without a reply that may be applied later, if the row still has the expected version then.
type delayedWrite struct {
	pending  bool
	expected uint8
	row      row
}

// state is one state of the model.
type state struct {
	row     row
	delayed [maxDelayed]delayedWrite
	ledgers [numLedgers]ledger
	// orphans counts open turns of crashed ledgers, and shortOrphans those with a reservation of one token; their callers may
	// still get all tokens that are reserved.
	orphans, shortOrphans int8
	// delivered counts the tokens that callers got.
	delivered int8
}

// guards are the safeguards of the budget: writes are conditional on the row's version, turns are settled at their used
// tokens, the shares of other ledgers count, turns with a short reservation stay within the share, a share is reduced to no less than
// what open turns may use, and a reduction whose reply is lost limits the share. A disabled guard shows whether the model detects its
// absence.
type guards struct{ versions, settles, others, share, reserved, limit bool }

// model is a model with some guards.
type model struct {
	guards
	// kept is set if the turns of the first ledger are kept: it claims no more than open turns may use, and may return the rest
	// when a turn ends.
	kept bool
}

var allGuards = guards{versions: true, settles: true, others: true, share: true, reserved: true, limit: true}

func (g model) reload(l *ledger, i int, r row) {
	others := 0
	for j, claimed := range r.claimed {
		if j != i {
			others += int(claimed)
		}
	}
	if !g.others {
		others = 0
	}
	l.row, l.rowKnown = r, true
	mine := int(r.claimed[i])
	if g.limit {
		mine = l.reduction.Limit(uint64(r.version), mine)
	}
	l.reduction = l.reduction.WithRow(uint64(r.version))
	l.account = l.account.WithRecorded(hgaccount.Recorded{Others: others, Mine: mine, Closed: r.closed})
}

// open returns the states after ledger i was asked for a turn: granted, refused, or with a write whose reply is lost.
func (g model) open(s state, i int) (next []state) {
	for _, n := range g.claim(s, i, modelMaxTokens) {
		if granted := n.ledgers[i].account.Open > s.ledgers[i].account.Open; granted {
			n.ledgers[i].open++
		}
		next = append(next, n)
	}
	return next
}

// claim returns the states after ledger i reserved tokens through the row.
func (g model) claim(s state, i, tokens int) (next []state) {
	account := s.ledgers[i].account
	if !g.kept || i > 0 {
		return g.claimGrant(s, i, tokens, account.Reserve(modelBudget, tokens))
	}
	alone, beside := account.ReserveOnly(0, 0, modelBudget, tokens), account.ReserveOnly(0, modelMaxTokens, modelBudget, tokens)
	next = g.claimGrant(s, i, tokens, alone)
	if beside != alone {
		next = append(next, g.claimGrant(s, i, tokens, beside)...)
	}
	return next
}

// claimGrant returns the states after ledger i decided on a reservation.
func (g model) claimGrant(s state, i, tokens int, grant hgaccount.Grant) (next []state) {
	l := &s.ledgers[i]
	switch {
	case grant.Spent:
		g.reload(l, i, s.row)
		return []state{s}
	case !grant.NeedsWrite:
		l.account = grant.Account
		return []state{s}
	}
	next = g.writeClaim(s, i, grant.Account.Mine)
	if written := &next[0]; written.ledgers[i].rowKnown && written.row.version != s.row.version {
		written.ledgers[i].account.Open += tokens
	}
	return next
}

// writeClaim returns the states after ledger i wrote its claim. In the first one the row was written and the ledger knows, or it was
// read, as it had changed; in the others the reply is lost, and the write is applied, or may be applied later.
func (g model) writeClaim(s state, i, claim int) (next []state) {
	l := &s.ledgers[i]
	if g.versions && s.row.version != l.row.version {
		g.reload(l, i, s.row)
		return []state{s}
	}
	l.reduction = l.reduction.WithWrite(uint64(l.row.version), int(l.row.claimed[i]), claim)
	written := l.row
	written.claimed[i] = int8(claim)
	applied := s.write(written)
	g.reload(&applied.ledgers[i], i, applied.row)
	next = append(next, applied)
	unanswered := s.write(written)
	unanswered.ledgers[i].rowKnown = false
	next = append(next, unanswered)
	for k := range s.delayed {
		if !s.delayed[k].pending {
			lost := s
			lost.ledgers[i].rowKnown = false
			lost.delayed[k] = delayedWrite{pending: true, expected: l.row.version, row: written}
			return append(next, lost)
		}
	}
	return next
}

// claimOnly returns the states after ledger i reduced or raised its claim to what open turns may use and some tokens for later turns. A
// reduction counts at once, as the write may be applied without a reply.
func (g model) claimOnly(s state, i, next int) []state {
	l := &s.ledgers[i]
	claim := l.account.ClaimOnly(0, next, modelBudget).Mine
	if !g.reserved {
		claim = l.account.Used
	}
	l.account.Mine = min(l.account.Mine, claim)
	return g.writeClaim(s, i, claim)
}

// returnRest returns the states after ledger i returned what open turns can't use.
func (g model) returnRest(s state, i int) (next []state) {
	l := &s.ledgers[i]
	l.account = l.account.ReturnUnused(0)
	if !g.reserved {
		l.account.Mine = l.account.Used
	}
	return g.writeClaim(s, i, l.account.Mine)
}

func (s state) write(r row) state {
	r.version = s.row.version + 1
	s.row = r
	return s
}

// successors returns all states that may follow s.
func (g model) successors(s state) (next []state) {
	for k, d := range s.delayed {
		if !d.pending {
			continue
		}
		dropped := s
		dropped.delayed[k] = delayedWrite{}
		next = append(next, dropped)
		if !g.versions || d.expected == s.row.version {
			next = append(next, dropped.write(d.row))
		}
	}
	if s.orphans > 0 {
		s := s
		s.orphans--
		s.delivered += modelMaxTokens
		next = append(next, s)
	}
	if s.shortOrphans > 0 {
		s := s
		s.shortOrphans--
		s.delivered++
		next = append(next, s)
	}
	for i := range s.ledgers {
		next = append(next, g.step(s, i)...)
	}
	return next
}

// openShort returns the states after ledger i granted a turn of its share without a write, with a reservation of one token.
func (g model) openShort(s state, i int) (next []state) {
	l := &s.ledgers[i]
	if g.share && l.account.Available() < 1 {
		return nil
	}
	l.account.Open += 1
	l.short++
	return []state{s}
}

// extend returns the states after ledger i was asked to extend a turn with a reservation of one token to modelMaxTokens: from its
// share, or by a claim of one more token.
func (g model) extend(s state, i int) (next []state) {
	const more = modelMaxTokens - 1
	l := &s.ledgers[i]
	if !g.share || l.account.Available() >= more {
		l.account.Open += more
		l.short--
		l.open++
		return []state{s}
	}
	for _, n := range g.claim(s, i, more) {
		if granted := n.ledgers[i].account.Open > s.ledgers[i].account.Open; granted {
			n.ledgers[i].short--
			n.ledgers[i].open++
		}
		next = append(next, n)
	}
	return next
}

// step returns the states after one event at ledger i: a turn is opened or settled, the ledger crashes, or it returns
// the unused part of its share.
func (g model) step(s state, i int) (next []state) {
	if s.ledgers[i].crashed {
		return nil
	}
	if s.ledgers[i].open+s.ledgers[i].short < maxOpen {
		next = append(g.open(s, i), g.openShort(s, i)...)
	}
	if s.ledgers[i].short > 0 {
		next = append(next, g.extend(s, i)...)
		for _, used := range []int8{0, 1} {
			s := s
			s.delivered += used
			s.ledgers[i].short--
			s.ledgers[i].account = s.ledgers[i].account.Settle(1, int(used))
			next = append(next, s)
		}
	}
	if s.ledgers[i].open > 0 {
		for _, used := range []int8{0, 1, modelMaxTokens} {
			s := s
			s.delivered += used
			s.ledgers[i].open--
			if g.settles {
				s.ledgers[i].account = s.ledgers[i].account.Settle(modelMaxTokens, int(used))
			} else {
				s.ledgers[i].account = s.ledgers[i].account.Settle(modelMaxTokens, 0)
			}
			next = append(next, s)
			if g.kept && i == 0 && s.ledgers[i].rowKnown {
				next = append(next, g.claimOnly(s, i, 0)...)
				next = append(next, g.claimOnly(s, i, modelMaxTokens)...)
			}
		}
	}
	if !s.ledgers[i].rowKnown {
		read := s
		g.reload(&read.ledgers[i], i, s.row)
		next = append(next, read)
	}
	crash := s
	crash.orphans += s.ledgers[i].open
	crash.shortOrphans += s.ledgers[i].short
	crash.ledgers[i] = ledger{crashed: true}
	next = append(next, crash)
	if s.ledgers[i].rowKnown && s.ledgers[i].account.Available() > 0 {
		next = append(next, g.returnRest(s, i)...)
	}
	return next
}

// usedUp is the state in which ledger 0 has claimed and delivered the whole budget.
func usedUp() state {
	s := state{row: row{version: 1, claimed: [numLedgers]int8{modelBudget}}, delivered: modelBudget}
	s = s.read()
	s.ledgers[0].account.Used = modelBudget
	return s
}

// unused is the state in which ledger 0 has claimed the whole budget, with one open turn.
func unused() state {
	s := state{row: row{version: 1, claimed: [numLedgers]int8{modelBudget}}}
	s = s.read()
	s.ledgers[0].account.Open, s.ledgers[0].open = modelMaxTokens, 1
	return s
}

// read returns the state in which all ledgers have read the row.
func (s state) read() state {
	for i := range s.ledgers {
		model{guards: allGuards}.reload(&s.ledgers[i], i, s.row)
	}
	return s
}

// worst returns the tokens that callers have got or may still get of all reservations.
func (s state) worst() (tokens int8) {
	tokens = s.delivered + s.orphans*modelMaxTokens + s.shortOrphans
	for _, l := range s.ledgers {
		tokens += l.open*modelMaxTokens + l.short
	}
	return tokens
}
