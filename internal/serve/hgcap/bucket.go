package hgcap

import "time"

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Duration
}

// advance adds what has accrued until now. The bucket never holds more than size.
func (b *bucket) advance(now time.Duration, rate, size float64) {
	if now > b.at {
		b.tokens += rate * (now - b.at).Seconds()
	}
	b.at = max(b.at, now)
	b.tokens = min(b.tokens, size)
}

// wait returns the time until the bucket holds n tokens.
func (b *bucket) wait(n, rate float64) time.Duration {
	if b.tokens >= n || rate <= 0 {
		return 0
	}
	return time.Duration((n - b.tokens) / rate * float64(time.Second))
}

// windowSlots is the number of slots of a window. The oldest slot counts as a whole, so that a window is longer by up to 2 %.
const windowSlots = 50

// window counts tokens over a sliding span of time.
type window struct {
	slot  time.Duration
	used  [windowSlots + 1]float64
	total float64
	// last is the number of the newest slot.
	last int64
}

func newWindow(span, now time.Duration) window {
	slot := max(span/windowSlots, time.Millisecond)
	return window{slot: slot, last: int64(now / slot)}
}

// at returns the slot of a number, which may be negative before the first window is over.
func (w *window) at(number int64) *float64 {
	n := int64(len(w.used))
	return &w.used[(number%n+n)%n]
}

// advance drops the slots that have left the window.
func (w *window) advance(now time.Duration) {
	number := int64(now / w.slot)
	if number-w.last > windowSlots {
		w.used, w.total, w.last = [windowSlots + 1]float64{}, 0, number
	}
	for ; w.last < number; w.last++ {
		next := w.at(w.last + 1)
		w.total -= *next
		*next = 0
	}
}

// add counts n tokens at a time within the window; older ones are not counted.
func (w *window) add(at time.Duration, n float64) (counted bool) {
	number := int64(at / w.slot)
	if number > w.last || w.last-number > windowSlots {
		return false
	}
	*w.at(number) += n
	w.total += n
	return true
}

// scale multiplies all counts by a factor.
func (w *window) scale(factor float64) {
	w.total = 0
	for i := range w.used {
		w.used[i] *= factor
		w.total += w.used[i]
	}
}

// newestFirst returns the slots in order of their age.
func (w *window) newestFirst() (used []float64) {
	for i := range int64(len(w.used)) {
		used = append(used, *w.at(w.last - i))
	}
	return used
}

// load replaces the counts by those of another window of the same span.
func (w *window) load(used []float64) {
	w.used, w.total = [windowSlots + 1]float64{}, 0
	for i, n := range used {
		w.add(time.Duration(w.last-int64(i))*w.slot, n)
	}
}
