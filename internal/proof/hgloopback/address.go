package hgloopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/gravitational/trace"
)

// hosts is the number of hosts of a process; its hosts are used again after so many calls.
const hosts = 254

// used counts the hosts that this process has used.
var used atomic.Uint32

// nextHost returns a host of 127.0.0.0/8. Processes use different ones, and so do calls of one process.
func nextHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%hosts, pid&0xff, 1+used.Add(1)%hosts)
}

// FreeAddresses returns n addresses of one host that nothing listens at. Each call uses another host, because the kernel may give
// a free port to another listener or an outgoing connection before the caller listens at it, or while the caller is down. Where
// the system has only 127.0.0.1, it uses that.
func FreeAddresses(n int) (addresses []string, err error) {
	defer func() { err = trace.Wrap(err, "find free addresses") }()
	host := nextHost()
	for len(addresses) < n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			l, err = net.Listen("tcp", "127.0.0.1:0")
		}
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
