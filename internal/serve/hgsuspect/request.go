package hgsuspect

import "github.com/cespare/xxhash/v2"

// Request tells a request from others when its caller sends it again.
type Request struct {
	// Content is a digest of all that goes to the replica, and Caller one of that and of who sends it.
	Content, Caller uint64
	// Service is what runs it.
	Service string
}

// NewRequest returns the request of a caller with a method, a URI, an object and a body.
func NewRequest(service, caller, method, uri, object string, body []byte) Request {
	d := xxhash.New()
	write := func(part []byte) {
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	for _, part := range [][]byte{[]byte(method), []byte(uri), []byte(object), body} {
		write(part)
	}
	r := Request{Content: d.Sum64(), Service: service}
	write([]byte(caller))
	r.Caller = d.Sum64()
	return r
}

// digests returns the digests under which the request counts.
func (r Request) digests() []uint64 { return []uint64{r.Content, r.Caller} }
