package hgreplica

import "time"

// Fetch is what it takes to fetch kept tokens from another replica; without a PerToken none can be fetched.
type Fetch struct {
	Setup, PerToken time.Duration
	// Charge is what a moved token counts besides, in the time of a request.
	Charge time.Duration
}

// sources are the two replicas that keep the most of a prompt, so that each replica has one that is not itself.
type sources [2]*replica

func (s *Set) sources(w Want, now time.Duration) (best sources) {
	if w.Fetch.PerToken <= 0 {
		return best
	}
	for id, n := range w.Kept {
		r, ok := s.replicas[id]
		switch {
		case !ok || !r.isUsable(w, now) || n <= 0:
		case best[0] == nil || n > w.Kept[best[0].ID]:
			best[0], best[1] = r, best[0]
		case best[1] == nil || n > w.Kept[best[1].ID]:
			best[1] = r
		}
	}
	return best
}

// apply notes in a replica's view what it reads and what it fetches, and returns from where; nil if it fetches nothing.
func (s sources) apply(v *view, w Want, id string) (from *replica) {
	v.miss = max(w.Prompt-w.Kept[id], 0)
	from = s[0]
	if from != nil && from.ID == id {
		from = s[1]
	}
	if from == nil {
		return nil
	}
	fetch := min(w.Kept[from.ID]-w.Kept[id], v.miss)
	cost := w.Fetch.Setup + time.Duration(fetch)*(w.Fetch.PerToken+w.Fetch.Charge)
	if fetch <= 0 || cost >= v.readTime(fetch) {
		return nil
	}
	v.fetch, v.fetchCost = fetch, cost
	v.miss -= fetch
	return from
}
