package hgedge

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samber/lo"

	"hyssopgrade/internal/operate/hgconfig"
	"hyssopgrade/internal/operate/hgstatus"
	"hyssopgrade/internal/peer/hgpeer"
	hgplatform "hyssopgrade/platform"
)

const (
	// addressTTL is how long callers keep an answer of the directory, if the platform allows it.
	addressTTL = 2 * time.Second
	// maxAddresses is the most addresses of an answer.
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

// addresses returns where callers of a failure domain connect: to its nodes if more than one of them is ready.
func (n *Node) addresses(domain string) []string {
	nodes := lo.Filter(append(n.members.Live(), n.members.Self()), func(i hgpeer.Info, _ int) bool { return i.Ready && !i.Stopping })
	if near := lo.Filter(nodes, func(i hgpeer.Info, _ int) bool { return i.Domain == domain }); len(near) > 1 {
		nodes = near
	}
	nodes = hgpeer.Strong(nodes)
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return lo.Map(nodes[:min(len(nodes), maxAddresses)], func(i hgpeer.Info, _ int) string { return i.Public })
}

func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(hgstatus.Path, n.serveStatus)
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.figures.Set("running", float64(n.entry.Running()))
		n.figures.Set("programs", float64(n.ledger.Programs()))
		n.figures.Set("suspects", float64(n.suspects.Len()))
		if err := n.figures.Write(w); err != nil {
			n.log.Debug("figures not written", "error", err)
		}
	})
	return mux
}
