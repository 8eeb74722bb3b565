package hgentryvm

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sys/unix"

	"hyssopgrade/hgstore"
	"hyssopgrade/internal/serve/hgreplica"
	"hyssopgrade/internal/serve/hgtransport"
	hgplatform "hyssopgrade/platform"
)

const (
	// replicaDialTimeout bounds opening a connection to a replica; the network takes about a millisecond.
	replicaDialTimeout = 400 * time.Millisecond
	// replicaAckTimeout is how long a replica's host may leave sent bytes unacknowledged before the connection is closed.
	replicaAckTimeout = 1500 * time.Millisecond
	// maxIdleConns bounds the idle connections to one replica.
	maxIdleConns = 16
	// maxReplicaHeaderBytes bounds the header of a replica's answer.
	maxReplicaHeaderBytes = 64 << 10
)

// newReplicaDialer returns a dialer of connections to replicas that notices soon that a host has gone silent.
func newReplicaDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         replicaDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) (err error) {
			controlErr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(replicaAckTimeout.Milliseconds()))
			})
			if controlErr != nil {
				return controlErr
			}
			return err
		},
	}
}

// newReplicaClient returns a client for one replica that follows no redirects, decompresses nothing and closes connections
// that were idle for the given time.
func newReplicaClient(dial hgtransport.Dial, idle time.Duration) *http.Client {
	return &http.Client{
		Transport: hgtransport.New(&http.Transport{
			DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idle,
			MaxResponseHeaderBytes: maxReplicaHeaderBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// applyReplicas applies the registrations of replicas. Missing ones are kept for the grace time that is left after an outage
// of the store.
func (n *Node) applyReplicas(rows map[string]hgstore.Row, grace time.Duration) {
	entries := n.replicaRows.Decode(rows, func(row hgstore.Row) (e hgreplica.Registration, ok bool) {
		e, err := hgplatform.DecodeReplica(row.Key, row.Value)
		if err != nil {
			n.log.Debug("ignoring a registration that cannot be decoded", "error", err, "version", row.Version)
		}
		return e, err == nil
	})
	n.replicas.Apply(lo.KeyBy(entries, func(e hgreplica.Registration) string { return e.ID }), grace)
	n.checkReady()
}

// applyDesired applies the desired state. One that cannot be decoded is logged, and the current one stays in effect.
func (n *Node) applyDesired(rows map[string]hgstore.Row, _ time.Duration) {
	row, ok := rows[hgplatform.DesiredKey]
	if !ok {
		return
	}
	s, err := hgplatform.DecodeDesired(row.Value, n.log)
	if err != nil {
		n.log.Error("cannot decode the desired state; keeping the current one", "version", row.Version, "error", err)
		return
	}
	if n.fresh.apply(n.entry, row.Version, s) {
		n.retention.apply(s)
		n.desiredAt.Store(int64(n.timer.Now()))
		n.log.Info("desired state applied", "version", s.Version, "routes", len(s.Routes), "services", len(s.Services))
	}
	n.updateReady()
}
