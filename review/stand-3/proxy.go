package main

import (
	"io"
	"net"
	"sync"
)

// link is a TCP proxy on loopback between one VM and the store. Its open connections can go silent, while new ones work.
type link struct {
	target string
	l      net.Listener

	mu sync.Mutex
	// epoch counts the calls of silence; connections of an earlier epoch deliver nothing.
	epoch int
	// open counts the connections of the present epoch.
	open int
}

func newLink(target string) (k *link, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k = &link{target: target, l: l}
	go k.serve()
	return k, nil
}

func (k *link) address() string { return k.l.Addr().String() }

// silence makes all open connections silent for good and returns their number.
func (k *link) silence() (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n, k.open = k.open, 0
	k.epoch++
	return n
}

func (k *link) isSilent(epoch int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return epoch != k.epoch
}

func (k *link) serve() {
	for {
		in, err := k.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", k.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		k.mu.Lock()
		k.open++
		epoch := k.epoch
		k.mu.Unlock()
		go k.relay(out, in, epoch, true)
		go k.relay(in, out, epoch, false)
	}
}

// relay forwards bytes until a side closes. A silent connection takes bytes and delivers none, and neither does it tell of a close.
func (k *link) relay(to, from net.Conn, epoch int, request bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !k.isSilent(epoch) {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if k.isSilent(epoch) {
		_, _ = io.Copy(io.Discard, from) // until this side closes
		_ = from.Close()
		return
	}
	if request {
		k.mu.Lock()
		k.open--
		k.mu.Unlock()
	}
	_ = to.Close()
	_ = from.Close()
}
