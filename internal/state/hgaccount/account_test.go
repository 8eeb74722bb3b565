package hgaccount_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopgrade/internal/state/hgaccount"
)

func TestReserve(t *testing.T) {
	type account = hgaccount.Account
	tests := map[string]struct {
		have account
		want hgaccount.Grant
	}{
		"first turn takes half of the rest":   {account{}, hgaccount.Grant{Account: account{Mine: 550, Open: 100}, NeedsWrite: true}},
		"what is left serves the next":        {account{Mine: 550, Used: 50}, hgaccount.Grant{Account: account{Mine: 550, Used: 50, Open: 100}}},
		"last turn takes all":                 {account{Mine: 900, Used: 900}, hgaccount.Grant{Account: account{Mine: 1000, Used: 900, Open: 100}, NeedsWrite: true}},
		"open turns count at their maximum":   {account{Mine: 950, Used: 500, Open: 401}, hgaccount.Grant{Account: account{Mine: 950, Used: 500, Open: 401}, Spent: true}},
		"others leave room":                   {account{Others: 500}, hgaccount.Grant{Account: account{Others: 500, Mine: 300, Open: 100}, NeedsWrite: true}},
		"others may not have used theirs":     {account{Others: 950}, hgaccount.Grant{Account: account{Others: 950, Mine: 100, Open: 100}, NeedsWrite: true}},
		"others' unused tokens granted once":  {account{Others: 950, Mine: 100, Used: 100}, hgaccount.Grant{Account: account{Others: 950, Mine: 100, Used: 100}, Spent: true}},
		"no grant on unused tokens if strict": {account{Others: 950, Strict: true}, hgaccount.Grant{Account: account{Others: 950, Strict: true}, Spent: true}},
		"others have used theirs":             {account{Others: 950, Settled: 950}, hgaccount.Grant{Account: account{Others: 950, Settled: 950}, Spent: true}},
		"unused tokens beside settled ones":   {account{Others: 950, Settled: 900}, hgaccount.Grant{Account: account{Others: 950, Settled: 900, Mine: 100, Open: 100}, NeedsWrite: true}},
		"settled ones leave too little":       {account{Others: 950, Settled: 901}, hgaccount.Grant{Account: account{Others: 950, Settled: 901}, Spent: true}},
		"closed":                              {account{Closed: true, Mine: 500}, hgaccount.Grant{Account: account{Closed: true, Mine: 500}, Spent: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, tt.have.Reserve(1000, 100)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// A reservation for open turns only claims no more than they and the turns that wait may use.
func TestReserveOnly(t *testing.T) {
	type account = hgaccount.Account
	tests := map[string]struct {
		have       account
		held, next int
		want       hgaccount.Grant
	}{
		"first turn":                  {account{}, 0, 0, hgaccount.Grant{Account: account{Mine: 100, Open: 100}, NeedsWrite: true}},
		"beside used and open tokens": {account{Mine: 150, Used: 50, Open: 100}, 0, 0, hgaccount.Grant{Account: account{Mine: 250, Used: 50, Open: 200}, NeedsWrite: true}},
		"beside a shortfall":          {account{Mine: 50, Open: 50}, 30, 0, hgaccount.Grant{Account: account{Mine: 180, Open: 150}, NeedsWrite: true}},
		"turns wait":                  {account{}, 0, 300, hgaccount.Grant{Account: account{Mine: 400, Open: 100}, NeedsWrite: true}},
		"more turns wait than fit":    {account{Others: 700}, 0, 300, hgaccount.Grant{Account: account{Others: 700, Mine: 300, Open: 100}, NeedsWrite: true}},
		"turns wait, budget is used":  {account{Others: 950}, 0, 300, hgaccount.Grant{Account: account{Others: 950, Mine: 100, Open: 100}, NeedsWrite: true}},
		"share from a slow store":     {account{Mine: 500, Used: 50}, 0, 300, hgaccount.Grant{Account: account{Mine: 500, Used: 50, Open: 100}}},
		"no more than the budget":     {account{Mine: 950, Used: 950}, 0, 0, hgaccount.Grant{Account: account{Mine: 950, Used: 950}, Spent: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, tt.have.ReserveOnly(tt.held, tt.next, 1000, 100)); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// A budget is exhausted only if nothing can be returned: neither by open turns nor of shares that others may not have used.
func TestIsExhausted(t *testing.T) {
	type account = hgaccount.Account
	tests := map[string]struct {
		have account
		want bool
	}{
		"used alone":             {account{Mine: 950, Used: 950}, true},
		"used with others":       {account{Others: 450, Settled: 450, Mine: 500, Used: 500}, true},
		"others may not have":    {account{Others: 450, Settled: 400, Mine: 500, Used: 500}, false},
		"a turn is open":         {account{Mine: 950, Used: 850, Open: 100}, false},
		"one more turn fits":     {account{Others: 400, Settled: 400, Mine: 500, Used: 500}, false},
		"it is recorded already": {account{Mine: 950, Used: 950, Closed: true}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tt.have.IsExhausted(1000, 100); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}
