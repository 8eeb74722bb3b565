package hgbound

import "github.com/samber/lo"

// Bound is a value of the settings with the range that it must be in, both ends included.
type Bound struct {
	Key       string
	Value     int
	Low, High int
}

// NewBound returns the bound of a value.
func NewBound(key string, value, low, high int) Bound {
	return Bound{Key: key, Value: value, Low: low, High: high}
}

// Broken returns the first bound whose value is out of its range.
func Broken(bounds []Bound) (b Bound, ok bool) {
	return lo.Find(bounds, func(b Bound) bool { return b.Value < b.Low || b.Value > b.High })
}
