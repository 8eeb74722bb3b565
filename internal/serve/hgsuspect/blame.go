package hgsuspect

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// maxUnblamed is the number of crashes, all explained by others, from which on a request is refused in any case. The request then
// has had all the retries that refusalTimes allow.
const maxUnblamed = 6

// A request that only ran beside one that ends replicas has had crashes too. What tells them apart is that the guilty one is in all of these
// crashes and in others, or that the bystander has completed before.

// isExplained reports whether so many of an entry's crashes are also crashes of more suspect requests that less than maxCrashes are left
// to count against it; l.mu is held.
func (l *List) isExplained(digest uint64, e *entry, now time.Duration) bool {
	unexplained := e.crashesCounted(now)
	n := len(unexplained)
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
		unexplained = lo.Reject(unexplained, func(c crash, _ int) bool {
			return slices.ContainsFunc(crashes, func(have crash) bool { return have.id == c.id })
		})
		if len(unexplained) < maxCrashes {
			return true
		}
	}
	return false
}

// isMoreSuspect reports whether o with a number of counted crashes is to be blamed for the crashes that it shares with e, which has
// n: it has more, or as many and has never completed as e has. Two requests with maxCrashes each excuse each other: both may run once more,
// and the next crash tells them apart.
func (o *entry) isMoreSuspect(crashes int, e *entry, n int) bool {
	return crashes > n || crashes == n && (n == maxCrashes || e.proof.seq > 0 && o.proof.seq == 0)
}
