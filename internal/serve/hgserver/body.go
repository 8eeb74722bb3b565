package hgserver

import (
	"errors"
	"io"
	"net/http"
)

// requestBody notes whether the body of a request was read to its end. It drops trailers then: they are not used, and their memory is not
// charged.
type requestBody struct {
	io.ReadCloser
	// request is the one that net/http holds.
	request *http.Request
	ended   bool
}

// trackBody returns a copy of the request whose body is tracked. The request itself keeps its body, by whose type net/http decides what
// to do with bytes that were not read.
func trackBody(r *http.Request) (body *requestBody, tracked *http.Request) {
	body = &requestBody{ReadCloser: r.Body, request: r, ended: r.Body == nil || r.Body == http.NoBody}
	if body.ended {
		return body, r
	}
	tracked = r.WithContext(r.Context())
	tracked.Body = body
	return body, tracked
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended, b.request.Trailer = true, nil
	}
	return n, err
}
