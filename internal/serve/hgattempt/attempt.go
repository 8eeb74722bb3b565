package hgattempt

import (
	"time"

	"hyssopgrade/internal/serve/hgteam"
)

// Attempt is the metadata of a request that a caller sent.
type Attempt struct {
	// ID identifies the attempt; callers make it unique.
	ID string
	// Deadline is how long the caller waits for the response; 0 if the request does not say.
	Deadline time.Duration
	// Object identifies what the request is about, for affinity: requests with the same object are faster on the same replica.
	Object string
	// TokensIn is the length of the prompt and MaxTokensOut the limit of generated tokens.
	TokensIn, MaxTokensOut int
	// Estimate is the number of tokens that the caller expects to be generated; 0 if the request does not say.
	Estimate int
	// Prefix lists the parts that the prompt starts with, in order. Replicas that have them cached need not read them again.
	Prefix []Part
	// LastEvent is the identifier of the last event that the caller has received; empty if the stream starts anew.
	LastEvent string
	// Program identifies the program that the request belongs to, and Session the sequence of turns within the program;
	// empty if the request names none.
	Program, Session string
	// ProgramLeft is the time after which the program counts as late, if HasProgramLeft is set.
	ProgramLeft    time.Duration
	HasProgramLeft bool
	// Budget is the number of tokens that all turns of the program together may generate, if HasBudget is set.
	Budget    int
	HasBudget bool
	// Previous is the identifier of the turn that this one continues, which is that of its attempt; empty for a first turn.
	Previous string
	// Version is the version of the weights that a replica must have, or else refuse the request; empty for any.
	Version string
	// Key is the digest of the API key, if HasKey is set; requests with no key or a malformed one have none.
	Key    hgteam.KeyDigest
	HasKey bool
}

// Part is a part of a prompt; several requests may contain the same part.
type Part struct {
	ID string
	// Tokens is the length of the part.
	Tokens int
}

// Send is the metadata that is added to a request for a replica.
type Send struct {
	// Replica identifies the replica that the request is for, so that another one at the same address can refuse it.
	Replica string
	// Left is the time until the request's deadline.
	Left time.Duration
	// LastEvent is the identifier of the event after which to resume a stream; empty to leave that to the caller's headers.
	LastEvent string
	// Anew says that the replica sends the stream from its first event on, whatever the caller asked for.
	Anew bool
	// FetchFrom is the address of the replica from which to fetch cached parts of the prompt; empty to fetch none.
	FetchFrom string
	// Team is the name of the team that the replica is told, or empty. HasTeams says that the desired state has teams, so that the
	// headers with the key and the team are the system's own.
	Team     string
	HasTeams bool
}

// MaxSlowness bounds the slowness of a replica in percent. One that takes a hundred times as long as usual is of no use to callers, so that a
// larger figure is an error of the report.
const MaxSlowness = 10_000

// Answer is the metadata of a replica's response, as decoded from its status and headers.
type Answer struct {
	// AttemptID identifies the attempt that the response belongs to.
	AttemptID string
	// Sealed says that the response has the replica's seal. A successful response without one counts as lost.
	Sealed bool
	// NotRun says that the replica refused the request without running it.
	NotRun bool
	// Failed says that the replica ran the request and responded with a server error.
	Failed bool
	// Leaving says that the replica shuts down soon and must get no new requests.
	Leaving bool
	// IdleTimeout is how long the replica keeps an idle connection open; 0 if the response does not say.
	IdleTimeout time.Duration
	// HasLoad says that the response reports the replica's load: Running and Waiting are its requests in progress and in its
	// queue, and Slots is how many it runs at once.
	HasLoad                 bool
	Running, Waiting, Slots int
	// Slowness is how long work takes on the replica at present, in percent of the usual; 0 if the response does not say.
	Slowness int
}
