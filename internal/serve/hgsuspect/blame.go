package hgsuspect

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// maxUnblamed is the number of crashes, all explained by others, from which on a request is refused in any case. The request then
// has had all the retries that refusalTimes allow.
const maxUnblamed = 6

// isExplained reports whether more suspect requests, which ran on the same replicas when these ended, explain so many of an
// entry's crashes that less than maxCrashes are left; l.mu is held.
func (l *List) isExplained(digest uint64, e *entry, now time.Duration) bool {
	own := e.crashesCounted(now)
	n := len(own)
	if n >= maxUnblamed {
		return false
	}
	for other, o := range l.entries {
		if len(o.crashes) < n || hasSameContent(other, digest) {
			continue
		}
		crashes := o.crashesCounted(now)
		if !o.isMoreSuspect(len(crashes), e, n) {
			continue
		}
		own = lo.Reject(own, func(c crash, _ int) bool {
			return slices.ContainsFunc(crashes, func(have crash) bool { return have.id == c.id })
		})
		if len(own) < maxCrashes {
			return true
		}
	}
	return false
}

// isMoreSuspect reports whether o with a number of counted crashes is to be blamed for the crashes that it shares with e, which has
// n. Of two requests with maxCrashes each, neither is: both may run once more, which tells them apart.
func (o *entry) isMoreSuspect(crashes int, e *entry, n int) bool {
	return crashes > n || crashes == n && (n == maxCrashes || e.proof.seq > 0 && o.proof.seq == 0)
}
