//go:build !linux

package hgtransport

import "net"

// isHalfClosed reports that it can't be told whether the peer takes further bytes.
func isHalfClosed(net.Conn) bool { return false }
