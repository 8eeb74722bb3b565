package hgsuspect

import "time"

// savedBreaks is the number of breaks from which on a request is worth a row: most never get a second one.
const savedBreaks = 2

// Unsaved returns records that are to be made durable, of requests that broke replicas here: those that others may not know of
// after a loss of all lists. A list that is apart from most others has all of its own saved.
func (l *List) Unsaved(isApart bool, most int) (records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for digest, e := range l.entries {
		if len(records) == most {
			break
		}
		if e.own > 0 && e.saved != e.print(digest) && (e.saved != 0 || isApart || e.count(now) >= savedBreaks) {
			records = append(records, e.record(digest, now))
		}
	}
	return records
}

// Saved tells that records are durable.
func (l *List) Saved(records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for _, r := range records {
		// The entry may have changed meanwhile; then it is saved once more.
		if e, ok := l.entries[r.Digest]; ok {
			e.saved = r.print(now)
		}
	}
}

// Load takes over durable records.
func (l *List) Load(records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for _, r := range records {
		l.mergeOne(store, r, now).saved = r.print(now)
	}
}

// print returns the fingerprint of an entry that says just what the record does.
func (r Record) print(now time.Duration) uint64 {
	var e entry
	e.merge(r, now)
	return e.print(r.Digest)
}
