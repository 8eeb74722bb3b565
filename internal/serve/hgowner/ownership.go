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

// Take claims shards as they were seen, recovers their programs and serves them.
func (o *Owner) Take(ctx context.Context, seen []hgjournal.SeenRow) (err error) {
	defer func() { err = trace.Wrap(err, "take %d shards", len(seen)) }()
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

// serve starts serving a recovered shard and settles what its previous owner left open.
func (o *Owner) serve(w hgjournal.SeenRow, state *hgprogram.Shard) {
	s := o.shards[w.Shard]
	o.cfg.Journal.Hold(w, state.N())
	o.mu.Lock()
	p := o.preset
	o.mu.Unlock()
	open := state.OpenCalls()
	epoch := w.Row.Epoch
	s.hold(epoch, state, p)
	for _, c := range open {
		o.wg.Go(func() { o.resolveOpen(s, epoch, c) })
	}
}

// Superseded tells an epoch of a shard that was seen in its row or heard from its owner. A shard that is held under an
// older one has another owner, which its journal would notice only with the next record.
func (o *Owner) Superseded(n uint32, epoch uint64) {
	s := o.shards[n]
	if held := s.heldEpoch(); held == 0 || held >= epoch {
		return
	}
	o.cfg.Log.Warn("shard lost", "shard", n, "epoch", epoch)
	s.drop()
}

// Release gives shards up, together, and returns those that were. With idle, it does so only with shards that run no call;
// else it waits for their calls, while new calls of the shards wait for the next owner.
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
		if err := o.shards[n].idle(ctx); err != nil {
			return nil, err
		}
	}
	released, err = o.cfg.Journal.Release(ctx, closing)
	for _, n := range released {
		o.shards[n].drop()
	}
	if len(released) > 0 {
		o.cfg.Log.Info("shards released", "shards", len(released))
	}
	return released, err
}

// Snapshot returns the encoded state of a held shard and its last record.
func (o *Owner) Snapshot(n uint32) (data []byte, last uint64, ok bool) {
	snap, ok := o.shards[n].snapshot()
	if !ok {
		return nil, 0, false
	}
	data, err := hgjournal.SnapshotCodec.Encode(snap)
	return data, snap.N, err == nil
}

// Tick releases the engine memory of silent programs and forgets programs that are silent for long.
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
			return st.Forget(now-o.cfg.Limits.Retain, now)
		})
		o.order(s, epoch, orders)
	}
}

// Sweep compares what an endpoint holds, and how full its memory is, with the programs of the held shards: it releases what
// belongs to no live program, learns where live programs' prefixes are, and forgets those that were evicted.
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

// sweepShard tells a held shard what an endpoint holds of its programs.
func (o *Owner) sweepShard(s *shard, endpoint string, share float64, tokens map[string]int) {
	epoch := s.heldEpoch()
	if epoch == 0 {
		return
	}
	var orders []hgretain.Order
	_, _ = s.update(o.cfg.Journal, epoch, func(st *hgprogram.Shard, k *hgretain.Keeper) []hgprogram.Record {
		k.Pressure(endpoint, share)
		k.Holds(endpoint, tokens)
		for program, n := range tokens {
			sum, ok := st.Summary(program, o.now())
			root, _ := st.Summary(hgcall.Root(program), o.now())
			orders = append(orders, k.Found(program, endpoint, n, ok && !sum.Ended && !root.Ended, sum.Running, o.now())...)
		}
		return nil
	})
	o.order(s, epoch, orders)
}
