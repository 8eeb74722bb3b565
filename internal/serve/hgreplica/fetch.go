package hgreplica

import "time"

// FetchCost is the cost of fetching cached prompt tokens from another replica; a PerToken of 0 disables fetching.
type FetchCost struct {
	// Setup is the time that each fetch takes, and PerToken the time that each of its tokens adds.
	Setup, PerToken time.Duration
	// Charge is added for each token: the price of moving its cached memory, expressed as request time.
	Charge time.Duration
}

// sources holds the two replicas that have the most of a prompt cached, so that every replica finds one that is not itself.
type sources [2]*replica

// sources returns the usable replicas with the most cached tokens; it is empty if fetching is disabled. s.mu is held.
func (s *Set) sources(w Want, now time.Duration) (best sources) {
	if w.Fetch.PerToken <= 0 {
		return best
	}
	for id, n := range w.Kept {
		r, ok := s.replicas[id]
		switch {
		case !ok || !r.isUsable(w, now) || r.pace.IsSuspected() || n <= 0:
		case best[0] == nil || n > w.Kept[best[0].ID]:
			best[0], best[1] = r, best[0]
		case best[1] == nil || n > w.Kept[best[1].ID]:
			best[1] = r
		}
	}
	return best
}

// planFetch sets in the view of a replica how many tokens it reads and how many it fetches. It returns the replica to fetch
// from, or nil if no other replica has more cached or if reading the tokens costs no more.
func (s sources) planFetch(v *view, w Want, id string) (from *replica) {
	v.missTokens = max(w.Prompt-w.Kept[id], 0)
	from = s[0]
	if from != nil && from.ID == id {
		from = s[1]
	}
	if from == nil {
		return nil
	}
	fetch := min(w.Kept[from.ID]-w.Kept[id], v.missTokens)
	cost := w.Fetch.Setup + time.Duration(fetch)*(w.Fetch.PerToken+w.Fetch.Charge)
	if fetch <= 0 || cost >= v.readTime(fetch) {
		return nil
	}
	v.fetchTokens, v.fetchCost = fetch, cost
	v.missTokens -= fetch
	return from
}
