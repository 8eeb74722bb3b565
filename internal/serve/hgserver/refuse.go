package hgserver

import (
	"errors"
	"net/http"
	"time"
)

const (
	// dropTime and dropBytes bound what is read and dropped of a refused body, so that the caller can read the refusal before its
	// connection ends. The bytes are those of a whole body of the usual limit, which take 1.1 s on a link of 30 Mbit/s.
	dropTime  = 2 * time.Second
	dropBytes = 4 << 20
	// quietTime ends that sooner if the caller sends nothing, as it has stopped or has seen the refusal. shedQuietTime is the same for a
	// request whose memory others wait for; callers that send have shorter gaps, of about a round trip of a few milliseconds.
	quietTime     = 250 * time.Millisecond
	shedQuietTime = 20 * time.Millisecond
	dropBlock     = 4 << 10
)

// Refuse answers a request whose body is not read to its end by respond, and then drops what the caller still sends for a bounded time:
// bytes that nobody reads would reset the connection and with it the answer. An error means that the caller may not see the answer.
func Refuse(w http.ResponseWriter, r *http.Request, respond func()) (err error) {
	return refuse(w, r, quietTime, respond)
}

// RefuseShed is Refuse for a request that gave way to others. It waits less for the caller and then closes the connection at once, by the
// panic that net/http provides for that. The answer needs a length, as it would be incomplete without its end.
func RefuseShed(w http.ResponseWriter, r *http.Request, respond func()) {
	_ = refuse(w, r, shedQuietTime, respond) // an error means that the connection is closed already
	panic(http.ErrAbortHandler)
}

func refuse(w http.ResponseWriter, r *http.Request, quiet time.Duration, respond func()) (err error) {
	conn := http.NewResponseController(w)
	err = errors.Join(conn.EnableFullDuplex(), conn.SetReadDeadline(time.Now().Add(quiet)))
	w.Header().Set("Connection", "close")
	respond()
	if flushErr := conn.Flush(); flushErr != nil || r.Body == nil {
		return errors.Join(err, flushErr)
	}
	end := time.Now().Add(dropTime)
	buf := make([]byte, dropBlock)
	for left := dropBytes; left > 0; {
		n, readErr := r.Body.Read(buf)
		if left -= n; readErr != nil {
			break // the caller has no more to send, or is too late
		}
		err = errors.Join(err, conn.SetReadDeadline(earlier(end, time.Now().Add(quiet))))
	}
	return err
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
