package hgaccount

// Account is one node's view of a program's budget, in tokens. Each node that serves the program claims a share of the
// budget in the program's durable row and spends that share without further writes. An Account is a value: its methods
// return the changed account.
type Account struct {
	// Others is the sum of the shares that all other nodes have claimed. The share of a node that has died may be
	// unspent, which no other node can tell.
	Others int
	// Settled is the part of Others that was used to the last token: nothing of it can be returned.
	Settled int
	// Mine is the share that this node has claimed.
	Mine int
	// Used counts the tokens delivered to callers through this node; Open is the sum of the reservations of its open
	// turns.
	Used, Open int
	// Strict is set if nodes may have claimed more than is known. No turn is then granted on the assumption that other
	// nodes have not used their shares.
	Strict bool
	// Closed is set if the budget is permanently exhausted.
	Closed bool
}

// Grant is the decision on a reservation.
type Grant struct {
	// Account is the account after the reservation; it is unchanged if the reservation is refused.
	Account Account
	// NeedsWrite is set if Mine has grown: the row has to be written before any token is delivered.
	NeedsWrite bool
	// Spent is set if the reservation is refused: the budget cannot hold the turn beside the reservations of all open
	// turns.
	Spent bool
}

// Available returns the part of this node's share that is neither used nor reserved by an open turn.
func (a Account) Available() int { return a.Mine - a.Used - a.Open }

// Reserve reserves maxTokens, the maximum output of a turn. If the node's share is too small, it also claims half of
// the unclaimed budget, so that the next turns need no write.
//
// Other nodes may not have used their shares, but for those that are settled. A turn that fits only if they have not is granted as long as
// the budget is exceeded by no more than this turn in case they have.
func (a Account) Reserve(budget, maxTokens int) Grant {
	if a.Closed {
		return Grant{Account: a, Spent: true}
	}
	if a.Available() >= maxTokens {
		a.Open += maxTokens
		return Grant{Account: a}
	}
	own := a.Used + a.Open
	rest := budget - a.Others - own - maxTokens
	certain := rest >= 0
	possible := !a.Strict && a.Others > a.Settled && a.Settled+own+maxTokens <= budget && a.Others+own <= budget
	if !certain && !possible {
		return Grant{Account: a, Spent: true}
	}
	a.Open += maxTokens
	a.Mine = max(a.Mine, own+maxTokens+max(rest, 0)/2)
	return Grant{Account: a, NeedsWrite: true}
}

// ReserveBeside is Reserve, but leaves room for the given number of tokens that open turns may still need beyond their reservations.
func (a Account) ReserveBeside(held, budget, maxTokens int) Grant {
	a.Open += held
	g := a.Reserve(budget, maxTokens)
	g.Account.Open -= held
	return g
}

// ReserveOnly is ReserveBeside, but claims no more than open turns may use and, of what is unclaimed, the given number of tokens for
// turns that are about to be opened.
func (a Account) ReserveOnly(held, next, budget, maxTokens int) Grant {
	g := a.ReserveBeside(held, budget, maxTokens)
	if g.NeedsWrite {
		g.Account = g.Account.ClaimOnly(held, next, budget)
	}
	return g
}

// ClaimOnly sets the node's share to what is used, reserved or held back for open turns and, of what is unclaimed, the given number of
// tokens for later turns. A share that has grown may be used once the row is written.
func (a Account) ClaimOnly(held, next, budget int) Account {
	needed := a.Used + a.Open + held
	a.Mine = needed + max(min(next, budget-a.Others-needed), 0)
	return a
}

// aheadDivisor is the number of parts of the unclaimed budget of which a node that ends takes one along: after five such ends half of the
// budget is left.
const aheadDivisor = 8

// Ahead returns the tokens to claim for later turns of the given maximum, beside what is used, reserved or held back: as many whole turns
// as fit into a part of the unclaimed budget.
func (a Account) Ahead(held, budget, maxTokens int) int {
	rest := budget - a.Others - a.Used - a.Open - held
	if rest <= 0 || maxTokens <= 0 {
		return 0
	}
	return rest / aheadDivisor / maxTokens * maxTokens
}

// MayOverrun reports whether a grant exceeds the budget in case all other nodes have used their whole shares.
func (a Account) MayOverrun(g Grant, budget int) bool {
	return !g.Spent && g.NeedsWrite && g.Account.Mine+a.Others > budget
}

// IsExhausted reports whether a turn of maxTokens can never fit again: the shares of all other nodes are settled and no turn is open,
// so that nothing can be returned. It is false for an account that is closed already.
func (a Account) IsExhausted(budget, maxTokens int) bool {
	return !a.Closed && a.Others == a.Settled && a.Open == 0 && a.Others+a.Used+maxTokens > budget
}

// IsSettled reports whether the node has used its whole share and no turn is open, so that the share is what was delivered to callers.
func (a Account) IsSettled() bool { return a.Open == 0 && a.Mine == a.Used }

// Settle replaces a turn's reservation by the tokens that were delivered to the caller.
func (a Account) Settle(reserved, used int) Account {
	a.Open -= reserved
	a.Used += used
	return a
}

// ReturnUnused reduces the node's share to what is used, reserved or held back for open turns. The caller has to write the row.
func (a Account) ReturnUnused(held int) Account {
	a.Mine = min(a.Mine, a.Used+a.Open+held)
	return a
}

// Recorded are the durable fields of an Account, which are read from the program's row.
type Recorded struct {
	Others, Settled, Mine int
	Strict, Closed        bool
}

// WithRecorded returns the account with the durable fields of the row.
func (a Account) WithRecorded(r Recorded) Account {
	a.Others, a.Settled, a.Mine, a.Strict, a.Closed = r.Others, r.Settled, r.Mine, r.Strict, r.Closed
	return a
}
