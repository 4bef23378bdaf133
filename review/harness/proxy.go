package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards TCP channels to an address. Its link can delay what goes to the
// address, and its channels can fall silent: they stay open, but nothing passes any more.
type proxy struct {
	address, target string
	listener        net.Listener
	delay           atomic.Int64 // of bytes to the target, in nanoseconds
	// delayed selects the channels that delay applies to; nil stands for all.
	delayed  func(net.Conn) bool
	mu       sync.Mutex
	channels map[*channel]bool
	seen     func([]byte) // called with the bytes to the target as they arrive
}

// onBytes sets a function that sees what is sent to the target before it is passed on.
func (p *proxy) onBytes(f func([]byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = f
}

func (p *proxy) see(b []byte) {
	p.mu.Lock()
	f := p.seen
	p.mu.Unlock()
	if f != nil {
		f(b)
	}
}

// channel is one forwarded TCP channel.
type channel struct {
	silent   atomic.Bool
	from     net.Conn
	owner    atomic.Int32 // whether delayed selects the channel: 0 unknown, 1 no, 2 yes
	lastByte atomic.Int64 // time of the last byte in either direction, in Unix nanoseconds
	waiting  atomic.Bool  // the last bytes went to the target: a call waits for its answer
}

func newProxy(host, target string) (*proxy, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, listener: l, channels: make(map[*channel]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(from)
	}
}

func (p *proxy) forward(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	c := &channel{from: from}
	c.lastByte.Store(time.Now().UnixNano())
	p.mu.Lock()
	p.channels[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.channels, c)
		p.mu.Unlock()
	}()
	done := make(chan struct{}, 2)
	go func() { c.copyDelayed(to, from, p); done <- struct{}{} }()
	go func() { c.copyDelayed(from, to, nil); done <- struct{}{} }()
	<-done
	<-done
}

// chunk is a piece of a channel's bytes, or its end, with the time at which it is passed on.
type chunk struct {
	data []byte
	due  time.Time
}

// isDelayed reports whether the delay of the link applies to the channel.
func (c *channel) isDelayed(p *proxy) bool {
	p.mu.Lock()
	selects := p.delayed
	p.mu.Unlock()
	if selects == nil {
		return true
	}
	if c.owner.Load() == 0 {
		c.owner.Store(1)
		if selects(c.from) {
			c.owner.Store(2)
		}
	}
	return c.owner.Load() == 2
}

// copyDelayed copies bytes in order, each after the delay of the link when it arrives, if it goes to
// the target of p.
func (c *channel) copyDelayed(to, from net.Conn, p *proxy) {
	queue := make(chan chunk, 4096)
	go func() {
		defer close(queue)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if c.silent.Load() {
				continueSilent(from)
				return
			}
			c.lastByte.Store(time.Now().UnixNano())
			c.waiting.Store(p != nil)
			if p != nil && n > 0 {
				p.see(b[:n])
			}
			due := time.Now()
			if p != nil && p.delay.Load() > 0 && c.isDelayed(p) {
				due = due.Add(time.Duration(p.delay.Load()))
			}
			if n > 0 {
				queue <- chunk{data: b[:n], due: due}
			}
			if err != nil {
				queue <- chunk{due: due}
				return
			}
		}
	}()
	for k := range queue {
		time.Sleep(time.Until(k.due))
		if c.silent.Load() {
			continue
		}
		if len(k.data) == 0 {
			_ = to.(*net.TCPConn).CloseWrite()
			continue
		}
		_, _ = to.Write(k.data)
	}
}

// continueSilent reads and drops what still comes on a silent channel.
func continueSilent(from net.Conn) {
	b := make([]byte, 4<<10)
	for {
		if _, err := from.Read(b); err != nil {
			return
		}
	}
}

// isIdle reports whether no byte has passed for d.
func (c *channel) isIdle(d time.Duration) bool {
	return time.Since(time.Unix(0, c.lastByte.Load())) >= d
}

// silence makes the open channels silent that selects returns true for. New channels
// work. It returns the number of channels that fell silent now and of those that go on.
func (p *proxy) silence(selects func(*channel) bool) (silenced, others int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.channels {
		if c.silent.Load() {
			continue
		}
		if !selects(c) {
			others++
			continue
		}
		c.silent.Store(true)
		silenced++
	}
	return silenced, others
}
