package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to an address. It stands for the network between an instance and
// a replica: bytes that were sent arrive later, also if the sender's process has ended.
type proxy struct {
	address string
	// hold, if set, gets the first bytes of a connection and returns for how long these and the
	// bytes after them are held back.
	mu   sync.Mutex
	hold func(first []byte) time.Duration
}

// newProxy listens on an address of its own and forwards to another one.
func newProxy(w *world, to string) *proxy {
	l, err := net.Listen("tcp", w.prefix+"3:0")
	if err != nil {
		panic(err)
	}
	p := &proxy{address: l.Addr().String()}
	w.atEnd(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c, to)
		}
	}()
	return p
}

func (p *proxy) setHold(f func(first []byte) time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = f
}

func (p *proxy) forward(from net.Conn, address string) {
	defer from.Close()
	buffer := make([]byte, 16<<10)
	n, err := from.Read(buffer)
	if n == 0 && err != nil {
		return
	}
	p.mu.Lock()
	hold := p.hold
	p.mu.Unlock()
	if hold != nil {
		if d := hold(buffer[:n]); d > 0 {
			time.Sleep(d)
		}
	}
	to, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer to.Close()
	if _, err := to.Write(buffer[:n]); err != nil {
		return
	}
	go func() {
		_, _ = io.Copy(to, from)
		_ = to.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(from, to)
}
