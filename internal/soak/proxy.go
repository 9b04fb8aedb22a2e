package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does with the connections that pass through it.
type proxyMode int

const (
	pass     proxyMode = iota
	delayed            // every chunk comes late
	oneWay             // what the server sends is lost
	silenced           // nothing passes and nothing is closed
)

// proxyDelay is the delay of each chunk in the mode delayed.
const proxyDelay = 30 * time.Millisecond

// proxy forwards TCP connections on loopback and injects faults between two processes.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]struct{}
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) current() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes every open connection.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset instead of an ordinary end
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { p.copy(server, client, false) })
	done.Go(func() { p.copy(client, server, true) })
	done.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, server)
}

// copy passes bytes on until one side ends. fromServer says in which direction.
func (p *proxy) copy(to, from net.Conn, fromServer bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for p.current() == silenced && p.alive(from) {
			time.Sleep(proxyDelay)
		}
		if p.current() == delayed {
			time.Sleep(proxyDelay)
		}
		if !(fromServer && p.current() == oneWay) && n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				p.reset1(to)
			}
			return
		}
	}
}

// alive reports whether the proxy still has the connection.
func (p *proxy) alive(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.conns[c]
	return ok
}

// reset1 makes the end of one connection a reset, as the other side ended by one.
func (p *proxy) reset1(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
