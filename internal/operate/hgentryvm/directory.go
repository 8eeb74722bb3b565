package hgentryvm

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/operate/hgstatus"
	"hyssopgrade/internal/peer/hgpeer"
	"hyssopgrade/internal/serve/hgreplica"
	hgplatform "hyssopgrade/platform"
)

const (
	// addressTTL is how long callers may cache an answer of the directory, unless the platform's bound is lower.
	addressTTL = 2 * time.Second
	// maxAddresses bounds the addresses in one answer of the directory.
	maxAddresses = 64
)

func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(hgplatform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(lo.Ternary(n.members.Self().Ready, http.StatusOK, http.StatusServiceUnavailable))
	})
	return mux
}

func (n *Node) directoryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(hgplatform.DirectoryPath, func(w http.ResponseWriter, r *http.Request) {
		ttl := min(addressTTL, hgconfig.Seconds(n.cfg.Bounds.AddressTTLSeconds))
		hgplatform.WriteAddresses(w, n.addresses(hgplatform.CallerDomain(r)), ttl)
	})
	return mux
}

// addresses returns the public addresses for callers of a failure domain, in random order: those of the domain's own nodes
// if at least two of them are ready, else those of all ready nodes, in each case only those that hgpeer.ServingNodes returns.
func (n *Node) addresses(domain string) []string {
	nodes := lo.Filter(append(n.members.Live(), n.members.Self()), func(i hgpeer.Info, _ int) bool { return i.Ready && !i.Stopping })
	if sameDomain := lo.Filter(nodes, func(i hgpeer.Info, _ int) bool { return i.Domain == domain }); len(sameDomain) > 1 {
		nodes = sameDomain
	}
	nodes = hgpeer.ServingNodes(nodes)
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return lo.Map(nodes[:min(len(nodes), maxAddresses)], func(i hgpeer.Info, _ int) string { return i.Public })
}

func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(hgstatus.Path, n.serveStatus)
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metrics.Set("running", float64(n.entry.Running()))
		n.metrics.Set("programs", float64(n.ledger.Programs()))
		n.metrics.Set("suspects", float64(n.suspects.Len()))
		summaries := n.replicas.Summaries()
		n.metrics.Set("replicasSuspected", float64(lo.CountBy(summaries, func(r hgreplica.Summary) bool { return r.Suspected })))
		n.metrics.Set("replicasLimited", float64(lo.CountBy(summaries, func(r hgreplica.Summary) bool { return r.LimitReason != "" })))
		if err := n.metrics.Write(w); err != nil {
			n.log.Debug("cannot write metrics", "error", err)
		}
		if err := writeTeamMetrics(w, n.teams()); err != nil {
			n.log.Debug("cannot write metrics of teams", "error", err)
		}
	})
	return mux
}
