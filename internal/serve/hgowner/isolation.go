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

// isolationPrefix is the key prefix of the isolation rows in the store, one for each endpoint that runs a suspect request.
const isolationPrefix = "alone/"

// isolationRetryInterval is how long a request waits that got a slot but not its turn or the isolation row, before it tries again.
const isolationRetryInterval = 100 * time.Millisecond

// isolationRow is the value of an isolation row: the node that runs a suspect request on the endpoint, and the identifier of
// the start of its process.
type isolationRow struct {
	Node  string `json:"node"`
	Run   string `json:"run"`
	Nonce string `json:"nonce"`
}

var isolationCodec hgcodec.JSON[isolationRow]

// isolation lets only one suspect request of the cell at a time run on an endpoint, by means of a row in the store. It keeps harmless
// suspects away from one that crashes endpoints. If two suspects run on one endpoint after an error here, correctness does not
// suffer.
type isolation struct {
	node  string
	run   string
	store hgstore.Table
	dead  func(node, run string) bool

	mu sync.Mutex
	// reserved is true for the endpoints whose row this process holds or is about to take.
	reserved map[string]bool
}

func newIsolation(cfg Config) *isolation {
	return &isolation{node: cfg.Node, run: cfg.Run, store: cfg.Store, dead: cfg.Dead, reserved: map[string]bool{}}
}

// acquire takes the endpoint's row if there is none, if it remains from an earlier suspect of this run, or if the run
// that holds it is dead.
func (i *isolation) acquire(ctx context.Context, endpoint string) (entered bool, err error) {
	defer func() { err = trace.Wrap(err, "acquire isolation row of endpoint %q", endpoint) }()
	if !i.reserve(endpoint) {
		return false, nil
	}
	defer func() {
		if !entered {
			i.unreserve(endpoint)
		}
	}()
	key := isolationPrefix + endpoint
	row, err := i.store.Get(ctx, key)
	if err != nil && !trace.IsNotFound(err) {
		return false, err
	}
	if err == nil {
		h, err := isolationCodec.Decode(row.Value)
		if err != nil || h.Run != i.run && !i.dead(h.Node, h.Run) {
			return false, err
		}
	}
	h := isolationRow{Node: i.node, Run: i.run, Nonce: uuid.NewString()}
	data, err := isolationCodec.Encode(h)
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
	if i.reserved[endpoint] {
		return false
	}
	i.reserved[endpoint] = true
	return true
}

func (i *isolation) unreserve(endpoint string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.reserved, endpoint)
}

// release deletes the endpoint's row. If that fails, the row is taken over by this run's next suspect, or by other nodes once this
// run is dead.
func (i *isolation) release(endpoint string) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	_, _ = i.store.Commit(ctx, hgstore.Txn{Deletes: []string{isolationPrefix + endpoint}})
	i.unreserve(endpoint)
}
