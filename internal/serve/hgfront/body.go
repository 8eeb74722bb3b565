package hgfront

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"hyssopgrade/hgcall"
	"hyssopgrade/internal/serve/hgmemory"
	"hyssopgrade/internal/serve/hgserver"
)

const (
	// copies is the number of copies of a body, beside the one that is read, that decoding it and calling an endpoint make.
	copies = 1
	// retryAfterMemory is when a caller whose body found no memory may come back.
	retryAfterMemory = time.Second
)

// readBody reads the request's body into memory that is shared with all requests, and calls next with it. It refuses bodies that are too
// large, that come after the server's read timeout, or for which there is no memory: such a request was not run and never will be.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, next func()) {
	if r.ContentLength > f.opts.MaxBody {
		f.refuseBody(w, r, http.StatusRequestEntityTooLarge, hgcall.Invalid("body", "%d bytes are too large, the limit is %d", r.ContentLength, f.opts.MaxBody))
		return
	}
	if r.ContentLength == 0 || r.Body == nil {
		next()
		return
	}
	conn := http.NewResponseController(w)
	held := f.opts.Requests.OpenBody(hgserver.Claim(r.Context()), func() {
		_ = conn.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection is closed already
	})
	defer held.Close()
	data, err := held.Read(r.Body, r.ContentLength, f.opts.MaxBody, func(int) {})
	if err == nil {
		err = held.Charge(copies * len(data))
	}
	switch {
	case err == nil:
		r.Body = io.NopCloser(bytes.NewReader(data))
		next()
	case errors.Is(err, hgmemory.ErrTooLong):
		held.Close()
		f.refuseBody(w, r, http.StatusRequestEntityTooLarge, hgcall.Invalid("body", "more bytes than the limit, which is %d", f.opts.MaxBody))
	case errors.Is(err, hgmemory.ErrShed) || held.IsShed():
		held.Close()
		refusal := hgcall.NewRefusal(hgcall.KindNotRun, hgcall.ReasonOverload, retryAfterMemory, "%v", hgmemory.ErrShed)
		f.backend.Refused(refusal)
		hgserver.RefuseShed(w, r, func() { writeRefusal(w, http.StatusServiceUnavailable, refusal) })
	case errors.Is(err, os.ErrDeadlineExceeded):
		held.Close()
		f.refuseBody(w, r, http.StatusRequestTimeout, hgcall.NewRefusal(hgcall.KindNotRun, hgcall.ReasonDeadline, retryAfterMemory, "the body came too slowly"))
	default:
		held.Close()
		f.refuseBody(w, r, http.StatusBadRequest, hgcall.Invalid("body", "%v", err))
	}
}

// refuseBody refuses a request whose body was not read to its end.
func (f *Front) refuseBody(w http.ResponseWriter, r *http.Request, status int, refusal *hgcall.Refusal) {
	f.backend.Refused(refusal)
	// An error means that the caller may not see the answer, which promises nothing that depends on it.
	_ = hgserver.Refuse(w, r, func() { writeRefusal(w, status, refusal) })
}

// writeRefusal writes a refusal with its length.
func writeRefusal(w http.ResponseWriter, status int, refusal *hgcall.Refusal) {
	body, err := json.Marshal(errorBody(refusal))
	if err != nil {
		body = nil // the status says enough
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error means that the caller has left
}
