package hgserver

import (
	"net/http"
	"strings"
)

// Memory that requests take, in bytes.
const (
	// ConnBytes is for an open connection: its buffers, the stack of its goroutine and its descriptor.
	ConnBytes = 16 << 10
	// requestBytes is for a request beside its head and body: the larger stack, the buffers of its answer, and a connection to a replica
	// with buffers and goroutines of its own.
	requestBytes = 32 << 10
	// byteFactor is the number of copies of a head: the bytes that were read, and the strings that they are decoded to.
	byteFactor = 2
	// lineBytes is for the entries of a header line in the decoded header and in the copy that is sent on. net/textproto estimates 200 for
	// one of them if it is large.
	lineBytes = 256
	// itemBytes is for an element of a list in a header, which is decoded to a string and a number.
	itemBytes = 32
)

// headCost adds up the memory that the head of a request takes, from its bytes.
type headCost struct {
	bytes int
	// inLine says that the current line is not empty, and ended that the empty line that ends the head has come.
	inLine, ended bool
}

// add adds bytes of the head and, behind its end, ignores those of the body.
func (h *headCost) add(p []byte) {
	for _, b := range p {
		if h.ended {
			return
		}
		h.bytes += byteFactor
		switch b {
		case '\n':
			h.ended = !h.inLine
			h.inLine = false
			h.bytes += lineBytes
		case '\r':
		case ',':
			h.inLine = true
			h.bytes += itemBytes
		default:
			h.inLine = true
		}
	}
}

// costOf returns the memory that the head of a decoded request takes.
func costOf(r *http.Request) (n int) {
	n = byteFactor*(len(r.RequestURI)+len(r.Host)) + 2*lineBytes
	for name, values := range r.Header {
		for _, v := range values {
			n += byteFactor*(len(name)+len(v)) + lineBytes + itemBytes*strings.Count(v, ",")
		}
	}
	return n
}
