package hgowner

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"hyssopgrade/hgcodec"
	"hyssopgrade/hgstore"
)

// isolationPrefix is the prefix of the rows that say which node runs a suspect on an endpoint.
const isolationPrefix = "alone/"

// isolationRetry is the wait before an endpoint is tried again.
const isolationRetry = 100 * time.Millisecond

// holder is a run of a node that runs a suspect.
type holder struct {
	Node  string `json:"node"`
	Run   string `json:"run"`
	Nonce string `json:"nonce"`
}

var holderCodec hgcodec.JSON[holder]

// isolation lets one suspect of the cell at a time run on an endpoint, by a row in the table. It keeps innocent
// suspects apart from a guilty one; two suspects on one endpoint, after an error here, cost no correctness.
type isolation struct {
	node  string
	run   string
	store hgstore.Table
	dead  func(node, run string) bool

	mu   sync.Mutex
	held map[string]bool
}

func newIsolation(cfg Config) *isolation {
	return &isolation{node: cfg.Node, run: cfg.Run, store: cfg.Store, dead: cfg.Dead, held: map[string]bool{}}
}

// enter takes the endpoint's row if it is free, left behind by this run, or held by a dead run.
func (i *isolation) enter(ctx context.Context, endpoint string) (entered bool, err error) {
	defer func() { err = trace.Wrap(err, "isolate endpoint %q", endpoint) }()
	if !i.reserve(endpoint) {
		return false, nil
	}
	defer func() {
		if !entered {
			i.free(endpoint)
		}
	}()
	key := isolationPrefix + endpoint
	row, err := i.store.Get(ctx, key)
	if err != nil && !trace.IsNotFound(err) {
		return false, err
	}
	if err == nil {
		h, err := holderCodec.Decode(row.Value)
		if err != nil || h.Run != i.run && !i.dead(h.Node, h.Run) {
			return false, err
		}
	}
	h := holder{Node: i.node, Run: i.run, Nonce: uuid.NewString()}
	data, err := holderCodec.Encode(h)
	if err != nil {
		return false, err
	}
	_, err = i.store.Commit(ctx, hgstore.Txn{
		Conditions: []hgstore.Condition{{Key: key, Version: row.Version}},
		Puts:       []hgstore.Put{{Key: key, Value: data}},
	})
	if _, conflict := hgstore.IsConflict(err); conflict {
		return false, nil
	}
	return err == nil, err
}

func (i *isolation) reserve(endpoint string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.held[endpoint] {
		return false
	}
	i.held[endpoint] = true
	return true
}

func (i *isolation) free(endpoint string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.held, endpoint)
}

// leave gives the endpoint's row back; a row that stays behind is taken over by this run's next suspect,
// or by others once this run is dead.
func (i *isolation) leave(endpoint string) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	_, _ = i.store.Commit(ctx, hgstore.Txn{Deletes: []string{isolationPrefix + endpoint}})
	i.free(endpoint)
}
