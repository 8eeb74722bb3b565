package hgpeer_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/hgcodec"
	"hyssopgrade/hgstore"
	"hyssopgrade/hgtimer"
	"hyssopgrade/internal/operate/hglog"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/state/hgledger"
	"hyssopgrade/internal/state/hgreach"
)

const (
	siteBudget, siteMost = 500, 200
	siteVMs              = 6
	// storeSides is the number of sides of a network partition that reach the store; there is one side more of each kind.
	storeSides, sides = 2, 4
	siteTick          = 300 * time.Millisecond
	// sitePrograms is the number of programs, and turnsPerStep that of the turns that are served at the same time.
	sitePrograms, turnsPerStep = 16, 6
)

var (
	errSilent = errors.New("no answer")
	rowCodec  = hgcodec.JSON[hgpeer.Info]{}
)

// siteVM is a VM with its membership and ledger. It is up, or its process has ended, or it has lost power.
type siteVM struct {
	site    *site
	name    string
	members *hgpeer.Members
	ledger  *hgledger.Ledger
	side    int
	up      bool
	// powered says that the host answers that nobody listens, once the process has ended.
	powered, stopping, slow bool
	// storeCut says that the VM alone does not reach the store.
	storeCut      bool
	starts, round int
	// rowVersion is the version of the VM's row as it wrote it, and readAt when it last read the rows.
	rowVersion uint64
	readAt     time.Duration
}

// site plays the membership of VMs in virtual time, with ledgers that serve programs over one store. It checks
// their budgets while VMs are cut off, restarted, stopped, removed and added.
type site struct {
	t      *testing.T
	clock  *clock
	store  *hgstore.Memory
	mutant mutant
	// mu guards what the ledgers' own goroutines read: the sides, the slow VMs and storeDown.
	mu        sync.Mutex
	storeDown bool
	vms       []*siteVM
	// delivered counts the tokens that the callers of each program got, and turns the turns.
	delivered map[string]int
	turns     int
	log       []string
	// domains is the number of failure domains of the VMs.
	domains int
}

// mutant leaves out one guard, to show that the checker detects its absence.
type mutant struct{ staleViews bool }

func newSite(t *testing.T, m mutant, domains int) *site {
	s := &site{t: t, clock: &clock{now: time.Minute}, store: hgstore.NewMemory(), mutant: m, domains: domains, delivered: map[string]int{}}
	for range siteVMs {
		s.add(true)
	}
	s.run(5 * time.Second)
	return s
}

// add adds a VM under a new name and address.
func (s *site) add(first bool) *siteVM {
	v := &siteVM{site: s, name: fmt.Sprintf("vm-%02d", len(s.vms))}
	s.vms = append(s.vms, v)
	v.start(first)
	return v
}

func (v *siteVM) start(first bool) {
	timer := hgtimer.NewService()
	v.site.t.Cleanup(timer.Close)
	v.starts++
	domain := fmt.Sprint("domain-", int(v.name[len(v.name)-1])%v.site.domains)
	v.members = hgpeer.NewMembers(v.site.clock, hgpeer.Info{
		Name: v.name, Boot: fmt.Sprintf("%s/%d", v.name, v.starts), Peer: v.name, Domain: domain, Ready: true, StoreOK: true, Power: 1,
		Started: v.site.clock.now.Milliseconds(), Joining: !first,
	})
	v.rowVersion, v.readAt = 0, 0
	if !v.site.mutant.staleViews {
		v.members.SetRowsAge(func() time.Duration { return v.site.clock.now - v.readAt })
	}
	v.site.change(func() { v.up, v.powered, v.stopping, v.slow, v.storeCut = true, true, false, false, false })
	v.ledger = hgledger.NewLedger(v.members.Self().Boot, cutTable{v.site.store, v.reachesStore}, timer, hglog.Discard(),
		hgledger.WithRetryAfter(time.Millisecond), hgledger.WithBackup(hgpeer.NewBackup(v.members, siteClient{v})),
		hgledger.WithAllProgramsKnown(first), hgledger.WithReachability(v.state))
}

func (s *site) change(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

func (v *siteVM) reachesStore() bool {
	v.site.mu.Lock()
	defer v.site.mu.Unlock()
	return v.up && v.side < storeSides && !v.site.storeDown && !v.storeCut
}

func (v *siteVM) state() hgreach.State {
	v.site.mu.Lock()
	defer v.site.mu.Unlock()
	return lo.Ternary(v.slow, hgreach.Slow, hgreach.Reachable)
}

// cutTable is the store as one VM reaches it.
type cutTable struct {
	hgstore.Table
	reached func() bool
}

func (c cutTable) Get(ctx context.Context, key string) (hgstore.Row, error) {
	if !c.reached() {
		return hgstore.Row{}, errSilent
	}
	return c.Table.Get(ctx, key)
}

func (c cutTable) Scan(ctx context.Context, prefix, after string, limit int) ([]hgstore.Row, error) {
	if !c.reached() {
		return nil, errSilent
	}
	return c.Table.Scan(ctx, prefix, after, limit)
}

func (c cutTable) Commit(ctx context.Context, t hgstore.Txn) (uint64, error) {
	if !c.reached() {
		return 0, errSilent
	}
	return c.Table.Commit(ctx, t)
}

// siteClient calls the other VMs as one VM reaches them.
type siteClient struct{ from *siteVM }

func (c siteClient) peer(address string) (v *siteVM, err error) {
	v, _ = lo.Find(c.from.site.vms, func(v *siteVM) bool { return v.name == address })
	switch {
	case v.side != c.from.side || !v.powered:
		return nil, errSilent
	case !v.up:
		return nil, syscall.ECONNREFUSED
	}
	return v, nil
}

func (c siteClient) Part(ctx context.Context, address string, q hgledger.SoleRequest) (r hgledger.SoleReply, err error) {
	v, err := c.peer(address)
	if err != nil {
		return r, err
	}
	return v.ledger.Share(ctx, q), nil
}

func (c siteClient) Copy(ctx context.Context, address string, q hgledger.Copy) (r hgpeer.OKReply, err error) {
	v, err := c.peer(address)
	if err != nil {
		return r, err
	}
	return hgpeer.OKReply{OK: v.ledger.TakeCopy(ctx, q)}, nil
}

// run advances the virtual time.
func (s *site) run(d time.Duration) {
	for end := s.clock.now + d; s.clock.now < end; s.clock.now += siteTick {
		for _, v := range s.vms {
			if v.up {
				v.tick()
			}
		}
	}
}

// tick reads and writes the rows of VMs if the store is reached, and sends heartbeats.
func (v *siteVM) tick() {
	if v.reachesStore() {
		v.syncRows()
		v.ledger.SaveClaims(context.Background())
	}
	const retention = 2 * time.Minute
	if v.members.Age() > retention {
		v.ledger.AddKnownPrograms(nil, true)
	}
	storeOK, unsaved, joining := v.reachesStore(), v.ledger.Unsaved(), v.members.IsJoining()
	_, complete := v.ledger.KnownPrograms()
	knowsAll := complete
	v.members.SetSelf(func(i hgpeer.Info) hgpeer.Info {
		i.StoreOK, i.Unsaved, i.Joining, i.Stopping, i.KnowsAll = storeOK, unsaved, joining, v.stopping, knowsAll
		return i
	})
	near, far := v.members.Targets(v.round)
	v.round++
	programs := v.ledger.TakeNewPrograms()
	for _, to := range append(near, far...) {
		peer, err := siteClient{v}.peer(to.Name)
		if err != nil {
			v.members.HeartbeatFailed(to.Name)
			continue
		}
		news := peer.members.HandleHeartbeat(hgpeer.Beat{Info: v.members.Self(), Ask: v.members.GossipQueryFor(to)})
		v.members.HandleReply(hgpeer.Beat{Info: peer.members.Self(), News: news})
		if to.Domain == v.members.Self().Domain {
			peer.ledger.AddKnownPrograms(programs, false)
			if p := peer.members.Self(); p.KnowsAll && !complete {
				known, _ := peer.ledger.KnownPrograms()
				v.ledger.AddKnownPrograms(known, p.KnowsAll)
			}
		}
	}
}

// syncRows is what hgentryvm does with the rows of VMs.
func (v *siteVM) syncRows() {
	key := func(name string) string { return "hgnode//" + name }
	rows, _, err := v.site.store.List(context.Background(), key(""))
	if err != nil {
		v.site.t.Fatal(err)
	}
	byKey := lo.KeyBy(rows, func(r hgstore.Row) string { return r.Key })
	rows = lo.Reject(rows, func(r hgstore.Row, _ int) bool { return hgledger.IsMarker(r.Key) })
	infos := lo.Map(rows, func(r hgstore.Row, _ int) hgpeer.Info { return v.decode(r) })
	v.readAt = v.site.clock.now
	v.members.SetRegistered(infos)
	own, exists := byKey[key(v.name)]
	if v.rowVersion > 0 && (!exists || own.Version < v.rowVersion) {
		v.members.LoseRow()
		v.rowVersion = 0
	}
	self := v.members.Self()
	if v.rowVersion == 0 && !v.stopping {
		old := lo.Ternary(exists, v.decode(own), hgpeer.Info{Stopping: true})
		age := v.site.clock.now - time.Duration(old.Registered)*time.Millisecond
		known := old.Boot != self.Boot && !old.Stopping && (!old.Joining || age > hgpeer.JoinTime)
		first := !self.Joining && v.starts == 1
		self.Joining, self.Registered = self.Joining && !known, v.site.clock.now.Milliseconds()
		v.rowVersion = v.put(key(v.name), self)
		v.members.Join(known || first)
	}
	for _, gone := range v.members.RowsToRemove() {
		if row, ok := byKey[key(gone.Name)]; ok && v.decode(row) == gone {
			txn := hgstore.Txn{Conditions: []hgstore.Condition{{Key: row.Key, Version: row.Version}}, Deletes: []string{row.Key}}
			if _, err := v.site.store.Commit(context.Background(), txn); err == nil {
				v.site.note("%s removes %s", v.name, gone.Name)
			}
		}
	}
}

func (v *siteVM) decode(r hgstore.Row) (i hgpeer.Info) {
	if len(r.Value) == 0 {
		return i
	}
	i, err := rowCodec.Decode(r.Value)
	if err != nil {
		v.site.t.Fatal(err)
	}
	return i
}

func (v *siteVM) put(key string, i hgpeer.Info) (version uint64) {
	value, err := rowCodec.Encode(i)
	if err != nil {
		v.site.t.Fatal(err)
	}
	version, err = v.site.store.Commit(context.Background(), hgstore.Txn{Puts: []hgstore.Put{{Key: key, Value: value}}})
	if err != nil {
		v.site.t.Fatal(err)
	}
	return version
}

// announceStop is what a VM does at the beginning of a stop: it tells its peers and returns budgets, and goes on serving turns.
func (v *siteVM) announceStop() {
	v.stopping = true
	v.tick()
	if v.reachesStore() {
		v.ledger.ReturnUnused(context.Background())
		v.rowVersion = v.put("hgnode//"+v.name, v.members.Self())
	}
}

// stop stops a VM as SIGTERM does, with no turn under way.
func (v *siteVM) stop() {
	v.announceStop()
	v.site.change(func() { v.up = false })
}
