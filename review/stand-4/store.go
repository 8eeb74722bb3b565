package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"hyssopgrade/hgstore"
	hgplatform "hyssopgrade/platform"
)

// storeLatency is the time that the platform's store takes to answer.
var storeLatency = 4 * time.Millisecond

// pageBytes is the largest page of rows. The project's handler bounds their number to 500, but not their bytes.
const pageBytes = 1_000_000

// serveStore serves the store with the latency and the page size of the platform's, and returns its address.
func serveStore(m *hgstore.Memory) (address string, srv *http.Server, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	handler := hgplatform.NewStoreHandler(m)
	srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		if r.URL.Path != "/v1/rows-get" {
			handler.ServeHTTP(w, r)
			return
		}
		page := httptest.NewRecorder()
		handler.ServeHTTP(page, r)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(page.Code)
		_, _ = w.Write(cutPage(page.Body.Bytes())) // an error means that the VM has closed the connection
	})}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), srv, nil
}

// cutPage drops the rows of a page that are beyond pageBytes.
func cutPage(data []byte) []byte {
	var reply struct {
		Rows    []json.RawMessage `json:"rows"`
		More    bool              `json:"more_pages"`
		Version uint64            `json:"ver"`
	}
	if len(data) <= pageBytes || json.Unmarshal(data, &reply) != nil {
		return data
	}
	size := 0
	for i, row := range reply.Rows {
		if size += len(row); size > pageBytes && i > 0 {
			reply.Rows, reply.More = reply.Rows[:i], true
			break
		}
	}
	cut, err := json.Marshal(reply)
	if err != nil {
		return data
	}
	return cut
}
