package hgaccount

// Account is one node's view of a program's budget, in tokens; it is a value. Each node that serves the program takes a
// part of the budget in the program's durable row, and spends it without further writes.
type Account struct {
	// Others is what all other nodes have taken; of nodes that are gone it may be unspent, but nobody can tell.
	Others int
	// Mine is what this node has taken.
	Mine int
	// Used is what callers got through this node, and Open what its open turns may still generate.
	Used, Open int
	// Strict says that more may have been taken than is known, so that nothing is granted on what others may not have used.
	Strict bool
	// Closed says that the budget was found to be spent for good.
	Closed bool
}

// Grant is the decision on a reservation.
type Grant struct {
	// Account is the account after the reservation, if it is granted.
	Account Account
	// Durable says that Mine has grown, so that the row has to be written before a token is handed out.
	Durable bool
	// Spent says that the budget does not hold the turn with all open ones at their most.
	Spent bool
}

// Left returns what this node has taken and neither spent nor lent to an open turn.
func (a Account) Left() int { return a.Mine - a.Used - a.Open }

// Reserve takes the most that a turn generates. Half of the rest of the budget is taken with it and serves the next
// turns without a write.
//
// What others have taken may be unspent. If the turn fits without it, it is granted as long as the budget is not
// exceeded by more than this turn even if all of it is spent.
func (a Account) Reserve(budget, most int) Grant {
	if a.Closed {
		return Grant{Account: a, Spent: true}
	}
	if a.Left() >= most {
		a.Open += most
		return Grant{Account: a}
	}
	own := a.Used + a.Open
	rest := budget - a.Others - own - most
	certain := rest >= 0
	possible := !a.Strict && a.Others > 0 && own+most <= budget && a.Others+own <= budget
	if !certain && !possible {
		return Grant{Account: a, Spent: true}
	}
	a.Open += most
	a.Mine = max(a.Mine, own+most+max(rest, 0)/2)
	return Grant{Account: a, Durable: true}
}

// IsBeyond says whether a grant may exceed the budget, if others have used all that they have taken.
func (a Account) IsBeyond(g Grant, budget int) bool {
	return !g.Spent && g.Durable && g.Account.Mine+a.Others > budget
}

// SpentForGood says whether no turn fits any more, whatever becomes of open ones and of what other nodes have taken.
func (a Account) SpentForGood(budget, most int) bool {
	return !a.Closed && a.Others == 0 && a.Open == 0 && a.Used+most > budget
}

// Settle closes a turn of which callers got some tokens.
func (a Account) Settle(most, used int) Account {
	a.Open -= most
	a.Used += used
	return a
}

// Return gives back what is left; the row has to be written.
func (a Account) Return() Account {
	a.Mine = min(a.Mine, a.Used+a.Open)
	return a
}

// Reload replaces the durable part by that of the row.
func (a Account) Reload(others, mine int, strict, closed bool) Account {
	a.Others, a.Mine, a.Strict, a.Closed = others, mine, strict, closed
	return a
}
