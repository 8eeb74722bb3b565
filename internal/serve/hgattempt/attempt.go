package hgattempt

import "time"

// Attempt is one attempt of a caller.
type Attempt struct {
	// ID is unique among all attempts.
	ID string
	// Deadline is the time for which the caller waits; 0 means that it did not say.
	Deadline time.Duration
	// Object names what the request is about; requests with the same one are faster on the same replica.
	Object string
	// TokensIn is the length of the prompt and MostOut the most tokens that are generated.
	TokensIn, MostOut int
	// Estimate is the caller's estimate of the tokens that are generated; 0 if it gives none.
	Estimate int
	// Prefix lists the parts of the prompt in order.
	Prefix []Part
	// LastEvent is the identifier of the last event that the caller has; empty at the start of a stream.
	LastEvent string
	// Program is the program and Session the line of its turns.
	Program, Session string
	// ProgramLeft is the time until the program should be finished; HasProgramLeft says whether the caller tells it.
	ProgramLeft    time.Duration
	HasProgramLeft bool
	// Budget is the number of tokens that all turns of the program may generate; HasBudget says whether there is one.
	Budget    int
	HasBudget bool
	// Previous is the identifier of the turn that this one continues; empty at the start of a chain.
	Previous string
}

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Send is what a replica is told with a request.
type Send struct {
	// Replica is the identifier of the replica that is meant.
	Replica string
	// Left is the time to answer.
	Left time.Duration
	// LastEvent is the event after which a stream goes on; empty for all of it.
	LastEvent string
	// FetchFrom is the address of the replica from which to fetch kept parts of the prompt; empty for none.
	FetchFrom string
}

// Answer is what the head of a replica's answer says.
type Answer struct {
	// AttemptID is the attempt that the answer belongs to.
	AttemptID string
	// Sealed says that the answer bears the replica's seal.
	Sealed bool
	// NotRun says that the replica has not run the request.
	NotRun bool
	// Failed says that the replica ran the request and failed it.
	Failed bool
	// Leaving says that the replica will end soon and is to get no new requests.
	Leaving bool
	// KeepsIdle is how long the replica keeps an unused connection; 0 if it does not say.
	KeepsIdle time.Duration
	// HasLoad says that Running, Waiting and Slots are known.
	HasLoad                 bool
	Running, Waiting, Slots int
}
