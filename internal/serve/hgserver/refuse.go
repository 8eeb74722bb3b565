package hgserver

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// dropTime and dropBytes bound what is read and dropped of a refused body, so that the caller can read the refusal before its
	// connection ends. The bytes are those of a whole body of the usual limit, which take 1.1 s on a link of 30 Mbit/s.
	dropTime  = 2 * time.Second
	dropBytes = 4 << 20
)

// Refuse answers a request whose body is not read to its end by respond, and then drops what the caller still sends for a bounded time:
// bytes that nobody reads would reset the connection and with it the answer. An error means that the caller may not see the answer.
func Refuse(w http.ResponseWriter, r *http.Request, respond func()) (err error) {
	conn := http.NewResponseController(w)
	err = errors.Join(conn.EnableFullDuplex(), conn.SetReadDeadline(time.Now().Add(dropTime)))
	w.Header().Set("Connection", "close")
	respond()
	if flushErr := conn.Flush(); flushErr != nil || r.Body == nil {
		return errors.Join(err, flushErr)
	}
	_, _ = io.CopyN(io.Discard, r.Body, dropBytes) // an error means that the caller has no more to send, or is too late
	return err
}
