package hgcap

import (
	"time"

	"hyssopgrade/internal/serve/hgteam"
)

// Verdict is the decision on a request.
type Verdict string

// Verdicts on a request.
const (
	// Granted says that the request is within the cap.
	Granted Verdict = "granted"
	// OverCap says that the team has used its cap.
	OverCap Verdict = "overCap"
	// NoOwner says that the owner of the team does not answer and the node's own share is used.
	NoOwner Verdict = "noOwner"
)

// Request asks whether a request is within the cap of its team.
type Request struct {
	Team hgteam.Team
	// New says that the request begins a program.
	New bool
}

// Reply is the decision on a request. RetryAfter is when a request that was not granted may come back.
type Reply struct {
	Verdict    Verdict
	RetryAfter time.Duration
	// Leased identifies the lease that a granted request used by when its owner, the process Boot, granted it. Boot is empty if it used none.
	Leased time.Duration
	Boot   string
}
