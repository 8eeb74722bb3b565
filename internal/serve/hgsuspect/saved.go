package hgsuspect

import "time"

// minCrashesSaved is the number of crashes from which on a request is stored; most requests never have a second crash.
const minCrashesSaved = 2

// hearsayDelay is the time after which a VM stores a change that it heard of from a peer and that the store does not hold. The VM that
// recorded it usually stores it within a second, but may be cut from the store, or gone.
const hearsayDelay = 1500 * time.Millisecond

// Unsaved returns at most limit records to store, so that they outlive a simultaneous loss of all lists. They are those with
// changes made at this VM, or heard of hearsayDelay ago, that have at least minCrashesSaved crashes, or an outdated row. If the VM is
// isolated from most peers, all with such changes are included, as no other list may have them.
func (l *List) Unsaved(isIsolated bool, limit int) (records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for digest, e := range l.entries {
		if len(records) == limit {
			break
		}
		isDue := e.localNumber > 0 || now-e.changedAt >= hearsayDelay
		if isDue && e.savedFingerprint != e.fingerprint(digest) && (e.savedFingerprint != 0 || isIsolated || e.countedCrashes(now) >= minCrashesSaved) {
			records = append(records, e.record(digest, now))
		}
	}
	return records
}

// Saved marks records as stored.
func (l *List) Saved(records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for _, r := range records {
		// If the entry has changed meanwhile, its fingerprint differs and Unsaved returns it again.
		if e, ok := l.entries[r.Digest]; ok {
			e.savedFingerprint = r.fingerprint(now)
		}
	}
}

// Load merges stored records into the list.
func (l *List) Load(records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for _, r := range records {
		l.mergeRecord(sourceStore, r, now).savedFingerprint = r.fingerprint(now)
	}
}

// fingerprint returns the fingerprint of an entry with just the contents of the record.
func (r Record) fingerprint(now time.Duration) uint64 {
	var e entry
	e.merge(r, now)
	return e.fingerprint(r.Digest)
}
