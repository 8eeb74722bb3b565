package hgsoak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats the bytes and connections that go through it.
type Mode int

// The modes of a proxy.
const (
	// Pass forwards everything.
	Pass Mode = iota
	// Delay forwards everything after a delay.
	Delay
	// Reset resets all connections, including new ones.
	Reset
	// Silent drops all bytes and keeps connections open.
	Silent
	// OneWay forwards requests and drops answers.
	OneWay
)

// delay is the time by which Delay holds back each chunk of bytes read.
const delay = 150 * time.Millisecond

// Proxy is a TCP proxy on loopback that injects network faults according to its mode.
type Proxy struct {
	target string
	l      net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// NewProxy starts a proxy that forwards to a target address.
func NewProxy(target string) (p *Proxy, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p = &Proxy{target: target, l: l, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Address returns the host and port that the proxy listens on.
func (p *Proxy) Address() string { return p.l.Addr().String() }

// SetMode changes the mode, also of open connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.l.Close()
	p.SetMode(Reset)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) serve() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == Reset {
			reset(in)
			continue
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			reset(in)
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.relay(out, in, true)
		go p.relay(in, out, false)
	}
}

// relay forwards chunks as the mode says until one side closes; request says whether they go to the target.
func (p *Proxy) relay(to, from net.Conn, request bool) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.forward(to, buf[:n], request) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes a chunk as the mode says and reports whether the connection goes on.
func (p *Proxy) forward(to io.Writer, chunk []byte, request bool) bool {
	switch mode := p.currentMode(); {
	case mode == Reset:
		return false
	case mode == Silent, mode == OneWay && !request:
		return true
	case mode == Delay:
		time.Sleep(delay)
	}
	_, err := to.Write(chunk)
	return err == nil
}
