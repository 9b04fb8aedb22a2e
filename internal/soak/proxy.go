package soak

import (
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/listener"
)

// proxyMode is what a proxy does with the connections that pass through it.
type proxyMode int

const (
	passThrough    proxyMode = iota
	delayed                  // each chunk is forwarded after proxyDelay
	dropFromServer           // data from the server is discarded
	stalled                  // nothing is forwarded and no connection is closed
)

// proxyDelay is the delay of each chunk in the mode delayed, and the polling interval in the mode stalled.
const proxyDelay = 30 * time.Millisecond

// proxy forwards TCP connections on loopback and injects network faults between two processes.
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
	p := &proxy{listener: listener.Persistent(l, listener.Options{Name: "proxy", Log: slog.Default()}), target: target, conns: make(map[net.Conn]struct{})}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// resetConnections closes every open connection with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // sends a reset instead of a FIN
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConnections()
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

// copy forwards bytes from one connection to the other until either ends. fromServer says that from is the connection
// to the server.
func (p *proxy) copy(to, from net.Conn, fromServer bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for p.currentMode() == stalled && p.tracks(from) {
			time.Sleep(proxyDelay)
		}
		if p.currentMode() == delayed {
			time.Sleep(proxyDelay)
		}
		if !(fromServer && p.currentMode() == dropFromServer) && n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				p.setResetOnClose(to)
			}
			return
		}
	}
}

// tracks reports whether the proxy still forwards the connection.
func (p *proxy) tracks(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.conns[c]
	return ok
}

// setResetOnClose makes the connection close with a TCP reset, as the other side's connection did.
func (p *proxy) setResetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
