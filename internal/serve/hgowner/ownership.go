package hgowner

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"hyssopgrade/hgcall"
	"hyssopgrade/hgprogram"
	"hyssopgrade/hgretain"
	"hyssopgrade/internal/state/hgjournal"
)

// Take claims the shards whose rows have not changed since they were read, recovers their programs and starts serving them.
func (o *Owner) Take(ctx context.Context, seen []hgjournal.VersionedRow) (err error) {
	defer func() { err = trace.Wrap(err, "take ownership of %d shards", len(seen)) }()
	won, err := o.cfg.Journal.Claim(ctx, o.cfg.Node, seen)
	if err != nil || len(won) == 0 {
		return err
	}
	start := o.now()
	states, err := hgjournal.Recover(ctx, o.cfg.Store, won, o.now())
	if err != nil {
		return err
	}
	for _, w := range won {
		o.serve(w, states[w.Shard])
	}
	o.cfg.Log.Info("shards taken", "shards", len(won), "took", o.now()-start)
	return nil
}

// serve starts serving a recovered shard and resolves the calls that its previous owner left without an outcome.
func (o *Owner) serve(w hgjournal.VersionedRow, state *hgprogram.Shard) {
	s := o.shards[w.Shard]
	o.cfg.Journal.Hold(w, state.N())
	o.mu.Lock()
	p := o.preset
	o.mu.Unlock()
	open := state.OpenCalls()
	epoch := w.Row.Epoch
	s.startServing(epoch, state, p)
	for _, c := range open {
		o.wg.Go(func() { o.resolveOpenCall(s, epoch, c) })
	}
}

// Superseded reports an epoch of a shard that was read from the shard's row or received from its owner. If this node holds the
// shard under an older epoch, the shard has another owner, and this node stops serving it: the journal would notice only when it
// commits the shard's next record.
func (o *Owner) Superseded(n uint32, epoch uint64) {
	s := o.shards[n]
	if held := s.heldEpoch(); held == 0 || held >= epoch {
		return
	}
	o.cfg.Log.Warn("shard lost to another owner", "shard", n, "epoch", epoch)
	s.stopServing()
}

// Release gives up shards together and returns those that were given up. With idle, it gives up only shards that run no call.
// Without, it waits for the calls in progress, while new calls of these shards wait for the next owner.
func (o *Owner) Release(ctx context.Context, shards []uint32, idle bool) (released []uint32, err error) {
	closing := lo.Filter(shards, func(n uint32, _ int) bool { return o.shards[n].setClosing(idle) })
	if len(closing) == 0 {
		return nil, nil
	}
	defer func() {
		for _, n := range closing {
			o.shards[n].reopen()
		}
	}()
	for _, n := range closing {
		if err := o.shards[n].waitIdle(ctx); err != nil {
			return nil, err
		}
	}
	released, err = o.cfg.Journal.Release(ctx, closing)
	for _, n := range released {
		o.shards[n].stopServing()
	}
	if len(released) > 0 {
		o.cfg.Log.Info("shards released", "shards", len(released))
	}
	return released, err
}

// Snapshot returns the encoded state of an owned shard and the number of its last record. The journal compacts the shard with it.
func (o *Owner) Snapshot(n uint32) (data []byte, last uint64, ok bool) {
	snap, ok := o.shards[n].snapshot()
	if !ok {
		return nil, 0, false
	}
	data, err := hgjournal.SnapshotCodec.Encode(snap)
	return data, snap.N, err == nil
}

// Tick releases the engine memory of inactive programs and removes programs that have been inactive for longer than Limits.Retain.
func (o *Owner) Tick() {
	now := o.now()
	for _, s := range o.shards {
		epoch := s.heldEpoch()
		if epoch == 0 {
			continue
		}
		var orders []hgretain.Order
		_, _ = s.update(o.cfg.Journal, epoch, func(st *hgprogram.Shard, k *hgretain.Keeper) []hgprogram.Record {
			orders = k.Tick(now)
			return st.EvictIdle(now-o.cfg.Limits.Retain, now)
		})
		o.sendOrders(s, epoch, orders)
	}
}

// Sweep reads which prefixes an endpoint holds and how full its memory is, and compares them with the programs of the owned
// shards: it releases prefixes of no live program, records where live programs' prefixes are, and drops records of prefixes
// that the endpoint has evicted.
func (o *Owner) Sweep(ctx context.Context, endpoint string) (err error) {
	defer func() { err = trace.Wrap(err, "sweep endpoint %q", endpoint) }()
	ep := o.cfg.Endpoints[endpoint]
	status, err := ep.Status(ctx)
	if err != nil {
		return err
	}
	tokens, err := ep.Programs(ctx)
	if err != nil {
		return err
	}
	byShard := map[*shard]map[string]int{}
	for program, n := range tokens {
		if hgcall.CheckProgram(program) != nil {
			continue
		}
		s := o.shardOf(program)
		if byShard[s] == nil {
			byShard[s] = map[string]int{}
		}
		byShard[s][program] = n
	}
	for _, s := range o.shards {
		o.sweepShard(s, endpoint, status.CacheShare, byShard[s])
	}
	return nil
}

// sweepShard updates an owned shard with the prefixes, in tokens, that an endpoint holds of its programs, and with the share of
// the endpoint's memory in use.
func (o *Owner) sweepShard(s *shard, endpoint string, share float64, tokens map[string]int) {
	epoch := s.heldEpoch()
	if epoch == 0 {
		return
	}
	var orders []hgretain.Order
	_, _ = s.update(o.cfg.Journal, epoch, func(st *hgprogram.Shard, k *hgretain.Keeper) []hgprogram.Record {
		k.SetMemoryUse(endpoint, share)
		k.SetContents(endpoint, tokens)
		for program, n := range tokens {
			sum, ok := st.Summary(program, o.now())
			root, _ := st.Summary(hgcall.Root(program), o.now())
			orders = append(orders, k.Found(program, endpoint, n, ok && !sum.Ended && !root.Ended, sum.Running, o.now())...)
		}
		return nil
	})
	o.sendOrders(s, epoch, orders)
}
