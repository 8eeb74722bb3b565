package hgaccount

// Reduction is a write that reduces a node's claim and whose outcome is not known. As long as the row has the version on which the
// write is conditional, it may still be applied.
type Reduction struct {
	Version uint64
	Claim   int
}

// Limit returns how much of the claim in a row with the given version the node may use.
func (r Reduction) Limit(version uint64, claim int) int {
	if r.Version == version {
		return min(claim, r.Claim)
	}
	return claim
}

// WithWrite returns the reduction once a node whose row records a claim is about to write another one.
func (r Reduction) WithWrite(version uint64, recorded, claim int) Reduction {
	if claim >= recorded {
		return r
	}
	return Reduction{Version: version, Claim: r.Limit(version, claim)}
}

// WithRow returns the reduction once the row is known to have a version: none if that is another one.
func (r Reduction) WithRow(version uint64) Reduction {
	if r.Version != version {
		return Reduction{}
	}
	return r
}
