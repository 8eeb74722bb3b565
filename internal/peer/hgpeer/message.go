package hgpeer

import (
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
	"hyssopgrade/internal/serve/hgsuspect"
	"hyssopgrade/internal/state/hgfeed"
	"hyssopgrade/internal/state/hgledger"
)

// Info is what a node says of itself.
type Info struct {
	// Name is the node's name and Boot the run of its process.
	Name, Boot string
	// Peer is the address for other nodes, and Public the one for callers.
	Peer, Public string
	Domain       string
	// Started is when the process started, in Unix milliseconds, and Revision grows with each change of what it says.
	Started  int64
	Revision uint64
	// Power is the processor of the node, in cores.
	Power float64
	// Ready says that the node serves callers; Stopping that it will end soon.
	Ready, Stopping bool
	// StoreOK says that the node reaches the store.
	StoreOK bool
	// Unsaved says that the node has taken tokens that no row tells of.
	Unsaved bool
	// KnowsAll says that the node knows all programs of its failure domain within the retention time.
	KnowsAll bool
}

// Beat is a heartbeat, and the answer to one.
type Beat struct {
	Info Info
	// Changed holds the version of the newest change of each watched table.
	Changed map[string]uint64
	// InFlight is the number of the node's requests on each replica.
	InFlight map[string]int
	// Programs are those that the node has begun to serve since its last heartbeat, by digest, for its own failure domain.
	Programs []uint64
	// Leaving are the runs of replicas that have told that they leave while they are listed as ready.
	Leaving []hgreplica.Lifetime
	// Suspects brings the lists of requests that break off replicas into agreement.
	Suspects hgsuspect.Exchange
	// Ask is what a heartbeat asks for, and News what the answer to one tells; only on large sites.
	Ask  Ask
	News *News
}

// SeenReply lists the programs that a node knows of, by digest, and says whether that is all there are nearby.
type SeenReply struct {
	Programs []uint64
	Complete bool
}

// OKReply says whether a copy is held.
type OKReply struct{ OK bool }

// TableRequest asks for the copy of a watched table.
type TableRequest struct{ Table string }

// Handler answers the messages of peers.
type Handler interface {
	// Beat takes a heartbeat and returns this node's.
	Beat(b Beat) Beat
	// Table returns the copy of a watched table.
	Table(q TableRequest) hgfeed.Copy
	// Open and Close serve a program for a peer.
	Open(q hgledger.OpenRequest) hgledger.OpenReply
	Close(q hgledger.CloseRequest) error
	// Copy holds a copy of what the peer has taken of a budget.
	Copy(c hgledger.Copy) OKReply
	// Part says what this node knows to be taken of a program's budget.
	Part(q hgledger.SoleRequest) hgledger.SoleReply
	// Seen returns the programs that this node knows of.
	Seen() SeenReply
	// Place gives a place to a peer's request, and Leave ends it.
	Place(a hgplacer.Ask) PlaceReply
	Leave(q LeaveRequest)
}

// PlaceReply is a place on a replica, or says why there is none.
type PlaceReply struct {
	Verdict            hgplacer.Verdict
	Replica, FetchFrom string
	Why                hgreplica.Why
	// Load is the placer's load of the service, as a multiple of its slots.
	Load float64
}

// LeaveRequest ends a request for a place, or the use of one.
type LeaveRequest struct {
	ID      string
	Outcome hgreplica.Outcome
}

// Empty is a message without content.
type Empty struct{}
