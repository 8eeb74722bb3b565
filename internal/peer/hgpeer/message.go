package hgpeer

import (
	"hyssopgrade/internal/serve/hgcap"
	"hyssopgrade/internal/serve/hgpace"
	"hyssopgrade/internal/serve/hgplacer"
	"hyssopgrade/internal/serve/hgreplica"
	"hyssopgrade/internal/serve/hgsuspect"
	"hyssopgrade/internal/state/hgfeed"
	"hyssopgrade/internal/state/hgfresh"
	"hyssopgrade/internal/state/hgledger"
)

// Info describes a node to its peers; each node issues its own.
type Info struct {
	// Name is the node's name, and Boot identifies the run of its process.
	Name, Boot string
	// Peer is the address for other nodes, and Public the one for callers.
	Peer, Public string
	// Domain is the failure domain of the node.
	Domain string
	// Started is when the process started, in Unix milliseconds, and Revision grows with each change of the Info.
	Started  int64
	Revision uint64
	// Registered is when the process last wrote its row, in Unix milliseconds.
	Registered int64
	// Power is the processor capacity of the node, in cores.
	Power float64
	// Ready says that the node serves callers, and Stopping that it shuts down.
	Ready, Stopping bool
	// Joining says that other nodes may not have read the node's row yet. The node counts as a member but has no vote.
	Joining bool
	// StoreOK says that the node reaches the store.
	StoreOK bool
	// Unsaved says that the node has claims on budgets that are not yet in a durable row.
	Unsaved bool
	// KnowsAll says that the node knows all programs of its failure domain within the retention time.
	KnowsAll bool
	// Settled says that the node has run for long enough to know its peers and the programs of its failure domain, so that it
	// can grant turns of new programs without the store.
	Settled bool
}

// Beat is a heartbeat, and the reply to one.
type Beat struct {
	Info Info
	// Changed holds the version of the newest change of each watched table.
	Changed map[string]uint64
	// InFlight is the number of the node's requests on each replica.
	InFlight map[string]int
	// Programs are the digests of the programs that the node has started to serve since its last heartbeat. They are sent
	// within the failure domain only.
	Programs []uint64
	// Leaving are the incarnations of replicas that have announced their leaving but are still registered as ready.
	Leaving []hgreplica.Incarnation
	// Suspects synchronizes the lists of requests that crash replicas.
	Suspects hgsuspect.Exchange
	// Pace is what the node states about overdue replicas, on a hub with the statements of its failure domain.
	Pace hgpace.News
	// Ask says what the reply to a heartbeat is to contain, and News is that part of the reply. News is nil on small sites.
	Ask  GossipQuery
	News *GossipUpdate
	// Fresh is the sender's evidence for its desired state when the reply was made. It is the zero value in heartbeats, which
	// may be delayed, and without a bound on revocation.
	Fresh hgfresh.Claim
}

// SeenReply lists the digests of the programs that a node knows. Complete says that they are all programs of its failure
// domain within the retention time.
type SeenReply struct {
	Programs []uint64
	Complete bool
}

// OKReply says whether the peer holds the copy that was sent to it.
type OKReply struct{ OK bool }

// TableRequest asks for a peer's copy of a watched table, by name.
type TableRequest struct{ Table string }

// Handler handles the calls of peers.
type Handler interface {
	// Beat records a heartbeat and returns the reply.
	Beat(b Beat) Beat
	// Table returns this node's copy of a watched table; an empty one if the table is not watched.
	Table(q TableRequest) hgfeed.Snapshot
	// Open and Close open and settle a turn of a program for a peer.
	Open(q hgledger.OpenRequest) hgledger.OpenReply
	Close(q hgledger.CloseRequest) error
	// Extend adds tokens to the reservation of a turn that was opened for a peer.
	Extend(q hgledger.ExtendRequest) hgledger.ExtendReply
	// Copy stores a copy of the peer's claim on a program's budget.
	Copy(c hgledger.Copy) OKReply
	// Part returns the claims on a program's budget that this node knows of.
	Part(q hgledger.SoleRequest) hgledger.SoleReply
	// Seen returns the programs that this node knows.
	Seen() SeenReply
	// Place reserves a place on a replica for a request of a peer, and Leave releases it.
	Place(a hgplacer.PlaceRequest) PlaceReply
	Leave(q LeaveRequest)
	// Cap grants leases on the usage caps of teams that this node owns, and hands teams over to the calling node.
	Cap(q CapRequest) CapReply
}

// CapRequest asks for a lease on the usage cap of a team, for a team that the calling node has come to own, or for a sign of life.
type CapRequest struct {
	// Ask is the lease that is asked for; nil if none is.
	Ask *hgcap.Ask
	// Surrender is the name of a team to hand over; empty if none is.
	Surrender string
}

// CapReply answers a CapRequest. What was not asked for has its zero value.
type CapReply struct {
	Grant    hgcap.Grant
	Handover hgcap.Handover
}

// PlaceReply is a place on a replica, or a verdict that says why there is none.
type PlaceReply struct {
	Verdict hgplacer.Verdict
	// Replica is the replica to send the request to, and FetchFrom the one to fetch cached tokens from, or empty.
	Replica, FetchFrom string
	// Why holds the figures that decided for the replica.
	Why hgreplica.Decision
	// Load is the load of the service as the placer sees it, as a multiple of its slots.
	Load float64
	// Unused is the part of its fair share of the places that the asking team does not use; 0 if no other team is there.
	Unused float64
}

// LeaveRequest cancels a request for a place, or releases the place.
type LeaveRequest struct {
	// ID is the identifier of the request for the place.
	ID string
	// Outcome is what the node saw of the replica; the zero value if the request was not sent.
	Outcome hgreplica.Outcome
}

// Empty is a request or a reply without content.
type Empty struct{}
