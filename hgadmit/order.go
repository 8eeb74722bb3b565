package hgadmit

import (
	"hyssopgrade/hgpreset"
)

// NewOrder returns the order selected by the preset's queue policy.
func NewOrder(p hgpreset.Preset) Order {
	if p.QueuePolicy == "arrival" {
		return arrival{}
	}
	return leastService{ageing: float64(p.AgeingTokensPerSecond)}
}

// arrival starts calls in the order of their arrival.
type arrival struct{}

// Key returns the time of arrival in seconds.
func (arrival) Key(w Waiting) float64 { return w.Since.Seconds() }

// String returns the order's name in presets.
func (arrival) String() string { return "arrival" }

// leastService starts calls of the programs that have been served the fewest tokens first. Each second of waiting counts
// as ageing fewer tokens served, which prevents starvation.
type leastService struct{ ageing float64 }

// Key returns the tokens served to the program plus the ageing until the call's arrival. A later arrival has a higher key,
// so the order of two waiting calls does not change with time.
func (o leastService) Key(w Waiting) float64 {
	return float64(w.Served) + o.ageing*w.Since.Seconds()
}

// String returns the order's name in presets.
func (leastService) String() string { return "leastService" }
