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

// Key returns the arrival.
func (arrival) Key(w Waiting) float64 { return w.Since.Seconds() }

// String names the order.
func (arrival) String() string { return "arrival" }

// leastService serves the program first that has been served least; all calls age alike.
type leastService struct{ ageing float64 }

// Key returns the service of the program, aged by the arrival.
func (o leastService) Key(w Waiting) float64 {
	return float64(w.Served) + o.ageing*w.Since.Seconds()
}

// String names the order.
func (leastService) String() string { return "leastService" }
