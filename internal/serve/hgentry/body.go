package hgentry

import (
	"context"
	"io"
	"runtime"
)

// yieldBytes is the number of bytes of a body after which other goroutines run. Chunks of a few bytes take so long to decode that
// a reader which never has to wait would use up its whole time slice, and dozens of them delay timers and other requests by seconds.
const yieldBytes = 16 << 10

// replicaBody is the body of a replica's response. Reads end with the request's context, without waiting for the transport to
// close the connection.
type replicaBody struct {
	io.ReadCloser
	ctx context.Context
	// unyielded is the number of bytes read since other goroutines could run.
	unyielded int
}

// Read implements io.Reader.
func (b *replicaBody) Read(p []byte) (n int, err error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	n, err = b.ReadCloser.Read(p)
	if b.unyielded += n; b.unyielded >= yieldBytes {
		b.unyielded = 0
		runtime.Gosched()
	}
	return n, err
}
