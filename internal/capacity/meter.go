package capacity

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// headerBytes is the size of the headers of one segment: 14 bytes of Ethernet, 20 of IP and 32 of TCP with time stamps.
const headerBytes = 66

var discardLog = slog.New(slog.DiscardHandler)

// processorTime returns the user and system time of this process, or 0 if it can't be read.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes in use on the heap and on goroutine stacks after a garbage collection.
func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// residentMB returns the resident set size of this process in megabytes, or 0 if it can't be read.
func residentMB() float64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident float64
	if _, err := fmt.Sscan(string(raw), &size, &resident); err != nil {
		return 0
	}
	return resident * float64(os.Getpagesize()) / 1e6
}

func openDescriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries)
}

// traffic is the payload bytes and TCP segments of connections in both directions, as the kernel counts them.
type traffic struct{ bytes, segments float64 }

func (t traffic) minus(o traffic) traffic { return traffic{t.bytes - o.bytes, t.segments - o.segments} }

// bytesWithHeaders returns the payload bytes plus the headers of all segments, acknowledgements included.
func (t traffic) bytesWithHeaders() float64 { return t.bytes + headerBytes*t.segments }

// meter counts the traffic of the connections that its listeners accept.
type meter struct {
	mu       sync.Mutex
	open     map[*meteredConn]struct{}
	closed   traffic
	accepted int
}

type meteredConn struct {
	*net.TCPConn
	meter *meter
}

// Close implements net.Conn. It adds the connection's traffic to the meter first, because the kernel drops the
// counters when the connection is closed.
func (c *meteredConn) Close() error {
	c.meter.mu.Lock()
	if _, ok := c.meter.open[c]; ok {
		delete(c.meter.open, c)
		t := c.traffic()
		c.meter.closed.bytes += t.bytes
		c.meter.closed.segments += t.segments
	}
	c.meter.mu.Unlock()
	return c.TCPConn.Close()
}

func (c *meteredConn) traffic() traffic {
	var t traffic
	raw, err := c.SyscallConn()
	if err != nil {
		return t
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		t.bytes = float64(info.Bytes_sent + info.Bytes_received)
		t.segments = float64(info.Segs_out) + float64(info.Segs_in)
	})
	return t
}

type meteredListener struct {
	net.Listener
	meter *meter
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	c := &meteredConn{tcp, l.meter}
	l.meter.mu.Lock()
	defer l.meter.mu.Unlock()
	if l.meter.open == nil {
		l.meter.open = make(map[*meteredConn]struct{})
	}
	l.meter.open[c] = struct{}{}
	l.meter.accepted++
	return c, nil
}

// read returns the traffic of all connections accepted so far.
func (m *meter) read() traffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.closed
	for c := range m.open {
		o := c.traffic()
		t.bytes += o.bytes
		t.segments += o.segments
	}
	return t
}

// connections returns the number of connections accepted so far.
func (m *meter) connections() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepted
}

func (m *meter) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return meteredListener{l, m}, nil
}

// cluster is a group of transport servers on loopback that share a meter.
type cluster struct {
	meter     meter
	addresses []string
	servers   []*transport.Server
}

// startCluster starts n servers; handler returns the handler of server i, which listens on address.
func startCluster(n int, handler func(i int, address string) transport.Handler) (*cluster, error) {
	c := new(cluster)
	for i := range n {
		l, err := c.meter.listen()
		if err != nil {
			c.close()
			return nil, err
		}
		address := l.Addr().String()
		s := transport.NewServer(l, nil, handler(i, address), discardLog)
		go func() { _ = s.Serve(context.Background()) }()
		c.addresses = append(c.addresses, address)
		c.servers = append(c.servers, s)
	}
	return c, nil
}

func (c *cluster) close() {
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// replyHandler returns a handler that replies to every message of a stream. A message for which answer returns nil gets no
// reply.
func replyHandler(answer func(e *wirepb.Envelope) *wirepb.Envelope) transport.Handler {
	return func(_ context.Context, s *transport.Stream) {
		for {
			e, err := s.Recv()
			if err != nil {
				return
			}
			if reply := answer(e); reply != nil && s.Send(reply) != nil {
				return
			}
		}
	}
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
