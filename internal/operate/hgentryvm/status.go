package hgentryvm

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgstatus"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgreplica"
)

// Status returns the state of the node for operators; it is served as JSON.
func (n *Node) Status() hgstatus.Status {
	self := n.members.Self()
	placer, _ := n.members.Placer()
	s := hgstatus.Status{
		VM: self.Name, Domain: self.Domain, Ready: self.Ready, Stopping: self.Stopping, StoreOK: n.reach.ok(),
		Running: n.entry.Running(), Programs: n.ledger.Programs(), Placer: placer.Name,
		Freshness: n.fresh.status(),
	}
	if d := n.entry.Desired(); d != nil {
		s.Version, s.InForce = d.Version, (n.timer.Now() - n.desiredSince()).Seconds()
	}
	for _, name := range slices.Sorted(maps.Keys(n.watches)) {
		w := n.watches[name]
		s.Tables = append(s.Tables, hgstatus.Table{Name: name, Changed: w.Changed(), Failing: w.Failing().Seconds()})
	}
	s.Services = n.services()
	live := lo.SliceToMap(n.members.Live(), func(i hgpeer.Info) (string, bool) { return i.Name, true })
	s.Peers = lo.Map(n.members.All(), func(i hgpeer.Info, _ int) hgstatus.Peer {
		return hgstatus.Peer{Name: i.Name, Domain: i.Domain, Live: live[i.Name], Ready: i.Ready, StoreOK: i.StoreOK}
	})
	slices.SortFunc(s.Peers, func(a, b hgstatus.Peer) int { return cmp.Compare(a.Name, b.Name) })
	s.Teams = n.teams()
	return s
}

// services returns the services in order of their names, each with its replicas in order of their IDs.
func (n *Node) services() (services []hgstatus.Service) {
	byService := lo.GroupBy(n.replicas.Summaries(), func(r hgreplica.Summary) string { return r.Service })
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		service := hgstatus.Service{Name: name, Load: n.replicas.Load(name)}
		for _, r := range byService[name] {
			report := hgstatus.Replica{
				ID: r.ID, Domain: r.Domain, Out: r.Out, InFlight: r.InFlight, Failures: r.Failures, DelayMs: r.Delay.Seconds() * 1000, Suspected: r.Suspected,
				Limit: r.Limit, LimitReason: r.LimitReason,
			}
			if r.UsualSlowness > 0 {
				report.Slowness, report.UsualSlowness = r.Slowness, r.UsualSlowness
			}
			service.Replicas = append(service.Replicas, report)
		}
		slices.SortFunc(service.Replicas, func(a, b hgstatus.Replica) int { return cmp.Compare(a.ID, b.ID) })
		services = append(services, service)
	}
	return services
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.Status()); err != nil {
		n.log.Debug("cannot write status", "error", err)
	}
}
