package hgsuspect

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request identifies a request, so that it is recognized when its caller or another one sends it again.
type Request struct {
	// Content is a digest of method, URI, object and what the replica reads. Caller is a digest of these and of the identity of
	// the caller.
	Content, Caller uint64
	// Service is the service that runs the request.
	Service string
	// Run is the run of the request that a record is about. Runs with an empty Replica share no end of a replica.
	Run Run
}

// Run is a run of a request on an incarnation of a replica.
type Run struct {
	Replica, Incarnation string
	// Began is when the request was sent, and Ended when the run ended without an answer; 0 is now.
	Began, Ended time.Duration
}

// WithRun returns the request with a run on a replica.
func (r Request) WithRun(run Run) Request {
	r.Run = run
	return r
}

// NewRequest returns the identity of a request. caller identifies who sends it, by program or address. previous names the turn
// whose chain precedes body in the prompt; empty if the replica reads only body.
func NewRequest(service, caller, method, uri, object, previous string, body []byte) Request {
	d := xxhash.New()
	write := func(part []byte) {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	for _, part := range [][]byte{[]byte(method), []byte(uri), []byte(object), []byte(previous), body} {
		write(part)
	}
	r := Request{Content: d.Sum64(), Service: service}
	write([]byte(caller))
	r.Caller = r.Content&contentMask | d.Sum64()&^contentMask
	return r
}

// contentMask selects the bits that both digests of a request have in common, so that the digests of one content are known as such.
const contentMask = 1<<64 - 1<<32

// hasSameContent reports whether two digests, with or without the caller, are of requests with the same content.
func hasSameContent(a, b uint64) bool { return (a^b)&contentMask == 0 }

// digests returns the digests under which the request is on the list.
func (r Request) digests() []uint64 { return []uint64{r.Content, r.Caller} }
