package hgadmit

import (
	"hyssopgrade/hgpreset"
)

// NewOrder returns the order that a preset names.
func NewOrder(p hgpreset.Preset) Order {
	if p.QueuePolicy == "arrival" {
		return arrival{}
	}
	return leastService{ageing: float64(p.AgeingTokensPerSecond)}
}

// arrival serves calls in the order in which they came.
type arrival struct{}

// Place puts every call into one class by its arrival.
func (arrival) Place(w Waiting) (class int, key float64) { return 0, w.Since.Seconds() }

// String names the order.
func (arrival) String() string { return "arrival" }

// leastService serves programs under way before new ones, and among them the one that has been served least.
// All calls age alike, so that a call's place never changes while it waits.
type leastService struct{ ageing float64 }

// Place returns the service of the program, aged by the arrival; new programs keep their arrival order.
func (o leastService) Place(w Waiting) (class int, key float64) {
	if w.New {
		return 1, w.Since.Seconds()
	}
	return 0, float64(w.Served) + o.ageing*w.Since.Seconds()
}

// String names the order.
func (leastService) String() string { return "leastService" }
