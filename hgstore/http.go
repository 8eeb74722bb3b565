package hgstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// maxReplyBytes bounds what is read of one platform reply.
const maxReplyBytes = 64 << 20

// HTTP is the Store over the platform's HTTP protocol.
type HTTP struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

// NewHTTP returns a client of the platform at base, such as http://127.0.0.1:7400.
func NewHTTP(base string, opts ...Option) *HTTP {
	o := newOptions(opts)
	return &HTTP{base: base, client: &http.Client{Transport: o.transport}, timeout: o.timeout}
}

// Get returns one row.
func (h *HTTP) Get(ctx context.Context, key string) (row Row, err error) {
	err = h.call(ctx, http.MethodGet, "/table/row?"+url.Values{"key": {key}}.Encode(), nil, &row)
	return row, err
}

// Scan returns rows in key order.
func (h *HTTP) Scan(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err = h.call(ctx, http.MethodGet, "/table/rows?"+q.Encode(), nil, &rows)
	return rows, err
}

// Commit applies a transaction.
func (h *HTTP) Commit(ctx context.Context, t Txn) (version uint64, err error) {
	body, err := json.Marshal(t)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	var reply struct {
		Version uint64 `json:"version"`
	}
	err = h.call(ctx, http.MethodPost, "/table/commit", body, &reply)
	return reply.Version, err
}

// PutObject stores an object.
func (h *HTTP) PutObject(ctx context.Context, name string, data []byte) (err error) {
	return h.call(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), data, nil)
}

// Object returns an object.
func (h *HTTP) Object(ctx context.Context, name string) (data []byte, err error) {
	err = h.call(ctx, http.MethodGet, "/objects/"+url.PathEscape(name), nil, &data)
	return data, err
}

// DeleteObject removes an object.
func (h *HTTP) DeleteObject(ctx context.Context, name string) (err error) {
	return h.call(ctx, http.MethodDelete, "/objects/"+url.PathEscape(name), nil, nil)
}

// VMs returns the VM list.
func (h *HTTP) VMs(ctx context.Context) (vms []VM, err error) {
	err = h.call(ctx, http.MethodGet, "/vms", nil, &vms)
	return vms, err
}

// String names the implementation.
func (h *HTTP) String() string { return "http " + h.base }

func (h *HTTP) call(ctx context.Context, method, path string, body []byte, out any) (err error) {
	defer func() { err = trace.Wrap(err, "platform %s %s", method, path) }()
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.GetBody = nil
	w, err := h.client.Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	data, err := io.ReadAll(io.LimitReader(w.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	return decodeReply(w.StatusCode, data, out)
}

func decodeReply(status int, data []byte, out any) (err error) {
	switch {
	case status == http.StatusConflict:
		c := &ConflictError{}
		if err := json.Unmarshal(data, c); err != nil {
			return err
		}
		return c
	case status == http.StatusNotFound:
		return trace.NotFound("%s", data)
	case status >= http.StatusMultipleChoices:
		return trace.ConnectionProblem(nil, "status %d: %s", status, data)
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = data
		return nil
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
