package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the pages name them.
const (
	maxTxEntries = 100
	maxTxBytes   = 1 << 20
	maxRowBytes  = 65536
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	maxNameBytes = 200
)

// txTime is how long a transaction takes.
var txTime = 4 * time.Millisecond

// rowName identifies a row.
type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// wireRow is a row, or a reference to one, in a body.
type wireRow struct {
	rowName
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// rowsReply is the body of all replies about rows.
type rowsReply struct {
	Rows    []wireRow `json:"rows,omitempty"`
	More    bool      `json:"more_pages,omitempty"`
	Version uint64    `json:"ver"`
	NowMs   int64     `json:"now_ms"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	srv     *http.Server
	address string
	started time.Time

	mu      sync.Mutex
	rows    map[rowName]wireRow
	changes []wireRow
	version uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// parts holds a lock for each part, as a part handles its transactions one after another.
	parts map[string]*sync.Mutex
	conns map[net.Conn]bool
	down  bool
}

// newStore starts a store on a free port.
func newStore() (s *store, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s = &store{
		address: l.Addr().String(), started: time.Now(), rows: map[rowName]wireRow{}, changed: make(chan struct{}),
		parts: map[string]*sync.Mutex{}, conns: map[net.Conn]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-parts", s.listParts)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	s.srv = &http.Server{Handler: mux, ConnState: s.track}
	go func() { _ = s.srv.Serve(l) }()
	return s, nil
}

// track keeps the set of open connections, and resets new ones while the store is down.
func (s *store) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
		if s.down {
			resetConn(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// setDown begins or ends an outage, in which the store resets all channels.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		for c := range s.conns {
			resetConn(c)
		}
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (s *store) reply(w http.ResponseWriter, status int, r rowsReply) {
	r.NowMs = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(r)
}

// txBody is the body of a transaction.
type txBody struct {
	Expected []wireRow `json:"expected_rev"`
	Puts     []wireRow `json:"puts"`
	Remove   []wireRow `json:"remove"`
	Across   bool      `json:"across"`
}

// isValid reports whether a transaction keeps the limits of the store.
func (t txBody) isValid() bool {
	all := slices.Concat(t.Expected, t.Puts, t.Remove)
	for _, r := range all {
		if len(r.Table) > maxNameBytes || len(r.Part) > maxNameBytes || len(r.Key) > maxNameBytes || len(r.Value) > maxRowBytes {
			return false
		}
		if r.Part != all[0].Part && !t.Across {
			return false
		}
	}
	return len(all) > 0 && len(all) <= maxTxEntries
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t txBody
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTxBytes)).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if !t.isValid() {
		http.Error(w, "transaction is beyond the limits", http.StatusBadRequest)
		return
	}
	for _, q := range slices.Concat(t.Puts, t.Remove) {
		if q.Table == "op" || q.Table == "servers" {
			http.Error(w, "table is the platform's", http.StatusForbidden)
			return
		}
	}
	unlock := s.lockParts(slices.Concat(t.Expected, t.Puts, t.Remove))
	defer unlock()
	time.Sleep(txTime)
	status, reply := s.apply(t)
	s.reply(w, status, reply)
}

// lockParts locks the parts of the rows in the order of their names.
func (s *store) lockParts(rows []wireRow) (unlock func()) {
	var names []string
	for _, r := range rows {
		names = append(names, r.Part)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	var locks []*sync.Mutex
	s.mu.Lock()
	for _, name := range names {
		if s.parts[name] == nil {
			s.parts[name] = &sync.Mutex{}
		}
		locks = append(locks, s.parts[name])
	}
	s.mu.Unlock()
	for _, l := range locks {
		l.Lock()
	}
	return func() {
		for _, l := range locks {
			l.Unlock()
		}
	}
}

// apply applies a transaction whole or not at all.
func (s *store) apply(t txBody) (status int, reply rowsReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	for _, q := range t.Expected {
		have, ok := s.rows[q.rowName]
		if ok {
			reply.Rows = append(reply.Rows, have)
		}
		failed = failed || have.Version != q.Version
	}
	if failed {
		reply.Version = s.version
		return http.StatusPreconditionFailed, reply
	}
	s.version++
	for _, q := range t.Puts {
		row := wireRow{rowName: q.rowName, Value: q.Value, Version: s.version}
		s.rows[q.rowName] = row
		s.changes = append(s.changes, row)
	}
	for _, q := range t.Remove {
		if _, ok := s.rows[q.rowName]; ok {
			delete(s.rows, q.rowName)
			s.changes = append(s.changes, wireRow{rowName: q.rowName, Version: s.version, Tombstone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, rowsReply{Version: s.version}
}

// put writes a row of the platform's own.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // values are built by the cases
	}
	s.apply(txBody{Puts: []wireRow{{rowName: rowName{Table: table, Key: key}, Value: data}}})
}

// remove removes a row of the platform's own.
func (s *store) remove(table, key string) {
	s.apply(txBody{Remove: []wireRow{{rowName: rowName{Table: table, Key: key}}}})
}

// isDown reports whether the store is down.
func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	reply := rowsReply{Version: s.version}
	for name, row := range s.rows {
		if name.Table == q.Get("table") && name.Part == q.Get("part") && name.Key >= q.Get("from") && (!q.Has("to") || name.Key < q.Get("to")) {
			reply.Rows = append(reply.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(reply.Rows, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	bytes := 0
	for i, row := range reply.Rows {
		bytes += len(row.Value) * 4 / 3
		if i == limit || i > 0 && bytes > maxPageBytes {
			reply.Rows, reply.More = reply.Rows[:i], true
			break
		}
	}
	s.reply(w, http.StatusOK, reply)
}

func (s *store) listParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var parts []string
	for name := range s.rows {
		if name.Table == q.Get("table") && name.Part > q.Get("after") {
			parts = append(parts, name.Part)
		}
	}
	s.mu.Unlock()
	slices.Sort(parts)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": slices.Compact(parts)})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, 30*time.Second))
	for {
		rows, version, changed := s.changesAfter(q.Get("table"), after)
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, rowsReply{Rows: rows, Version: version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.reply(w, http.StatusOK, rowsReply{Version: version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes of a table after a version, the newest version, and a channel that is closed at the next
// change.
func (s *store) changesAfter(table string, after uint64) (rows []wireRow, version uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.changes {
		if c.Table == table && c.Version > after {
			rows = append(rows, c)
		}
	}
	return rows, s.version, s.changed
}
