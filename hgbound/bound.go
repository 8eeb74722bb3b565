package hgbound

import "github.com/samber/lo"

// Bound is the value of a setting with its permitted range, from Low to High inclusive. Key names the setting.
type Bound struct {
	Key       string
	Value     int
	Low, High int
}

// NewBound returns a Bound for the setting key; low and high are inclusive.
func NewBound(key string, value, low, high int) Bound {
	return Bound{Key: key, Value: value, Low: low, High: high}
}

// FirstOutOfRange returns the first Bound whose value is out of its range; ok is false if there is none.
func FirstOutOfRange(bounds []Bound) (b Bound, ok bool) {
	return lo.Find(bounds, func(b Bound) bool { return b.Value < b.Low || b.Value > b.High })
}
