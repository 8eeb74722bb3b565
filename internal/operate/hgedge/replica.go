package hgedge

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sys/unix"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/serve/hgreplica"
	hgplatform "hyssopgrade/platform"
)

const (
	// replicaDial bounds a new connection to a replica, which is a millisecond away.
	replicaDial = 400 * time.Millisecond
	// silentConn is how long a connection to a replica may leave bytes unacknowledged.
	silentConn = 1500 * time.Millisecond
	// replicaConns bounds the idle connections to one replica.
	replicaConns = 16
	// maxReplicaHead bounds the head of a replica's answer, in bytes.
	maxReplicaHead = 64 << 10
)

// newReplicaClient returns a client that sends a request once, follows nothing and decodes nothing, and keeps unused
// connections for a time.
func newReplicaClient(idle time.Duration) *http.Client {
	d := &net.Dialer{
		Timeout:         replicaDial,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) (err error) {
			outer := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentConn.Milliseconds()))
			})
			if outer != nil {
				return outer
			}
			return err
		},
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: d.DialContext, DisableCompression: true, MaxIdleConnsPerHost: replicaConns, IdleConnTimeout: idle,
			MaxResponseHeaderBytes: maxReplicaHead,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (n *Node) applyReplicas(rows map[string]hgstore.Row, lapse time.Duration) {
	entries := n.replicaRows.Decode(rows, func(row hgstore.Row) (e hgreplica.Entry, ok bool) {
		e, err := hgplatform.DecodeReplica(row.Key, row.Value)
		if err != nil {
			n.log.Debug("registration left out", "error", err, "version", row.Version)
		}
		return e, err == nil
	})
	n.set.Apply(lo.KeyBy(entries, func(e hgreplica.Entry) string { return e.ID }), lapse)
	n.readyAtOnce()
}

func (n *Node) applyDesired(rows map[string]hgstore.Row, _ time.Duration) {
	row, ok := rows[hgplatform.DesiredKey]
	if !ok {
		return
	}
	s, err := hgplatform.DecodeDesired(row.Value, n.log)
	if err != nil {
		n.log.Error("desired state cannot be read", "version", row.Version, "error", err)
		return
	}
	if n.entry.SetDesired(s) {
		n.desiredAt.Store(int64(n.timer.Now()))
		n.log.Info("desired state in force", "version", s.Version, "routes", len(s.Routes), "services", len(s.Services))
	}
	n.updateReady()
}
