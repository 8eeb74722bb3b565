package hgsite_test

import (
	"testing"
	"time"

	"hyssopgrade/hgcodec"
	"hyssopgrade/hgstore"
	"hyssopgrade/internal/operate/hgstatus"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/proof/hgsite"
)

// Guards against a VM that votes at once because of a row under its name that others may not have read, or do not count.
func TestVMVotesAtOnceOnlyForARowThatOthersCount(t *testing.T) {
	const longAgo = time.Hour
	codec := hgcodec.JSON[hgpeer.Info]{}
	tests := map[string]struct {
		// change makes the row before the start from one that an earlier process has written long ago; nil is no row.
		change func(i hgpeer.Info) hgpeer.Info
		joins  bool
	}{
		"no row":                    {nil, true},
		"row of an earlier process": {func(i hgpeer.Info) hgpeer.Info { return i }, false},
		"one that counted from first": {func(i hgpeer.Info) hgpeer.Info {
			i.Joining = false
			return i
		}, false},
		"one that announced its stop": {func(i hgpeer.Info) hgpeer.Info {
			i.Stopping = true
			return i
		}, true},
		"row that was written again just now": {func(i hgpeer.Info) hgpeer.Info {
			i.Registered = time.Now().UnixMilli()
			return i
		}, true},
		"row at another address, of a host that may be up": {func(i hgpeer.Info) hgpeer.Info {
			i.Peer = "127.0.0.1:9"
			return i
		}, true},
		"row of another writer": {func(i hgpeer.Info) hgpeer.Info { return hgpeer.Info{Name: i.Name} }, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1)
			cfg, err := s.AddConfig(s.StoreAddress())
			if err != nil {
				t.Fatal(err)
			}
			s.Configs[1].VM.FirstStart = false
			key := "hgnode//" + cfg.VM.Name
			if tt.change != nil {
				at := time.Now().Add(-longAgo).UnixMilli()
				value, err := codec.Encode(tt.change(hgpeer.Info{
					Name: cfg.VM.Name, Boot: "earlier", Peer: cfg.Listen.Peer, Public: cfg.Listen.Public, Domain: cfg.VM.Domain, Started: at, Registered: at, Joining: true,
				}))
				if err != nil {
					t.Fatal(err)
				}
				if _, err := s.Store.Commit(t.Context(), hgstore.Txn{Puts: []hgstore.Put{{Key: key, Value: value}}}); err != nil {
					t.Fatal(err)
				}
			}
			s.Nodes = append(s.Nodes, nil)
			if err := s.StartNode(1); err != nil {
				t.Fatal(err)
			}
			if i := awaitRow(t, s, cfg.VM.Name); i.Joining != tt.joins {
				t.Errorf("joins: %t, want %t", i.Joining, tt.joins)
			}
		})
	}
}

// Guards against a VM that votes at once as the whole site starts for the first time, although it reaches the store long after others.
func TestVMThatIsLateAtFirstStartJoins(t *testing.T) {
	tests := map[string]struct {
		late  time.Duration
		joins bool
	}{
		"in time": {0, false},
		"late":    {hgpeer.DiscoveryTime + time.Second, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1)
			cfg, err := s.AddConfig(s.StoreAddress())
			if err != nil {
				t.Fatal(err)
			}
			outage(s, tt.late > 0)
			s.Nodes = append(s.Nodes, nil)
			if err := s.StartNode(1); err != nil {
				t.Fatal(err)
			}
			time.Sleep(tt.late)
			outage(s, false)
			if i := awaitRow(t, s, cfg.VM.Name); i.Joining != tt.joins {
				t.Errorf("joins: %t, want %t", i.Joining, tt.joins)
			}
		})
	}
}

// Guards against a VM that counts nowhere, for good, after another writer has replaced its row.
func TestRowThatWasReplacedIsWrittenAgain(t *testing.T) {
	s := newSite(t, 3)
	name := s.Configs[1].VM.Name
	awaitRow(t, s, name)
	for _, value := range []string{"", "{}", `{"Name":"vm-1"}`} {
		if _, err := s.Store.Commit(t.Context(), hgstore.Txn{Puts: []hgstore.Put{{Key: "hgnode//" + name, Value: []byte(value)}}}); err != nil {
			t.Fatal(err)
		}
		if i := awaitRow(t, s, name); !i.Joining {
			t.Errorf("row after %q: %+v", value, i)
		}
	}
}

// awaitRow returns the row of a VM once its present process has written it.
func awaitRow(t *testing.T, s *hgsite.Site, name string) (i hgpeer.Info) {
	t.Helper()
	for deadline := time.Now().Add(applyLimit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		row, err := s.Store.Get(t.Context(), "hgnode//"+name)
		if err != nil {
			continue
		}
		if i, err = (hgcodec.JSON[hgpeer.Info]{}).Decode(row.Value); err == nil && i.Boot != "earlier" && i.Boot != "" {
			return i
		}
	}
	t.Fatal("the VM has written no row")
	return i
}

// Guards against a VM that others take for its earlier process, which stopped, for good, because its clock is behind that one's.
func TestVMWhoseClockWasSetBackIsHeard(t *testing.T) {
	s := newSite(t, 1)
	cfg, err := s.AddConfig(s.StoreAddress())
	if err != nil {
		t.Fatal(err)
	}
	s.Configs[1].VM.FirstStart = false
	ahead := time.Now().Add(time.Minute).UnixMilli()
	value, err := hgcodec.JSON[hgpeer.Info]{}.Encode(hgpeer.Info{
		Name: cfg.VM.Name, Boot: "earlier", Peer: cfg.Listen.Peer, Public: cfg.Listen.Public, Domain: cfg.VM.Domain, Started: ahead, Registered: ahead, Stopping: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.Store.Commit(t.Context(), hgstore.Txn{Puts: []hgstore.Put{{Key: "hgnode//" + cfg.VM.Name, Value: value}}}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(applyLimit)
	s.Nodes = append(s.Nodes, nil)
	if err := s.StartNode(1); err != nil {
		t.Fatal(err)
	}
	var peers []hgstatus.Peer
	for deadline := time.Now().Add(applyLimit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		status, err := hgstatus.Get(t.Context(), s.Configs[0].Listen.Metrics)
		if err != nil {
			t.Fatal(err)
		}
		if peers = status.Peers; len(peers) == 1 && peers[0].Live && peers[0].Ready {
			return
		}
	}
	t.Errorf("peers of the other VM: %+v", peers)
}
