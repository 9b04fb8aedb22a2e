package misbehaviour

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// writeTime bounds the sending of one client whose data nobody reads. It shapes the crowd and is no bound of the product.
	writeTime = 10 * time.Second
	// holdTime is how long a client that is not among the last ones stays after it has sent everything.
	holdTime = 500 * time.Millisecond
	// settleTime is how long the crowd stays before the first ordinary request, so that its clients have reached their ends.
	settleTime = 2 * time.Second
	// slowPause is the pause of a slow client between two bytes.
	slowPause = 100 * time.Millisecond
)

// client sends what client number i of a crowd sends. It returns when it has sent everything, or cannot send more, or ctx ends.
// The connection stays open after it returns.
type client func(ctx context.Context, c net.Conn, i int)

// crowd is a number of misbehaving clients that connect to one address.
type crowd struct {
	address string
	clients int // all together
	held    int // connected at a time; the last ones stay until the end of the test
	send    client
}

// check lets the crowd connect, and fails the test if the process ends, exceeds memory or descriptors, or if ordinary is not
// answered while the last clients of the crowd are connected.
func (cr crowd) check(t *testing.T, p *proc, memory int64, descriptors int, ordinary func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	mostDescriptors, watched := 0, make(chan struct{})
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go func() {
		defer close(watched)
		for watch.Err() == nil {
			n, _ := p.openDescriptors()
			mostDescriptors = max(mostDescriptors, n)
			time.Sleep(10 * time.Millisecond)
		}
	}()
	before, _ := p.highWater()
	places := make(chan struct{}, cr.held)
	var sending sync.WaitGroup
	for i := range cr.clients {
		places <- struct{}{}
		wg.Add(1)
		sending.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-places }()
			cr.connect(ctx, i, sending.Done)
		}()
	}
	sending.Wait()
	time.Sleep(settleTime)

	var err error
	for deadline := time.Now().Add(stepTimeout); time.Now().Before(deadline) && p.lives(); time.Sleep(100 * time.Millisecond) {
		if err = ordinary(); err == nil {
			break
		}
	}
	stopWatch()
	<-watched
	if !p.lives() {
		t.Fatalf("%s has ended", p.name)
	}
	if err != nil {
		t.Errorf("an ordinary request is not answered after the crowd: %v", err)
	}
	peak, peakErr := p.highWater()
	if peakErr != nil {
		t.Fatal(peakErr)
	}
	t.Logf("%s: peak memory %d MB (before the crowd %d, bound %d), most descriptors %d (bound %d)", p.name, peak>>20, before>>20,
		memory>>20, mostDescriptors, descriptors)
	if peak > memory {
		t.Errorf("peak memory %d MB, above the bound of %d", peak>>20, memory>>20)
	}
	if mostDescriptors > descriptors {
		t.Errorf("%d descriptors, above the bound of %d", mostDescriptors, descriptors)
	}
}

// connect connects client i, lets it send, calls sent, and disconnects it: one of the last when ctx ends, another after holdTime.
func (cr crowd) connect(ctx context.Context, i int, sent func()) {
	conn, err := (&net.Dialer{Timeout: writeTime}).DialContext(ctx, "tcp", cr.address)
	if err != nil {
		sent()
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = conn.SetWriteDeadline(time.Now().Add(writeTime))
	sendCtx, cancel := context.WithTimeout(ctx, writeTime)
	cr.send(sendCtx, conn, i)
	cancel()
	sent()
	if i >= cr.clients-cr.held {
		<-ctx.Done()
		return
	}
	select {
	case <-time.After(holdTime):
	case <-ctx.Done():
	}
}

// head returns the head of a request without the empty line that ends it.
func head(method, path string, fields ...string) []byte {
	return []byte(method + " " + path + " HTTP/1.1\r\nHost: crew.example\r\nAuthorization: Bearer crews-key\r\n" + strings.Join(fields, ""))
}

// fieldsOf returns n header fields with different short names.
func fieldsOf(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString("x" + strconv.FormatInt(int64(i), 36) + ":1\r\n")
	}
	return b.String()
}

func write(c net.Conn, data ...[]byte) bool {
	buffers := net.Buffers(data)
	_, err := buffers.WriteTo(c)
	return err == nil
}

// shortBodies sends bodies of size bytes, of which the last byte never comes: in one piece, in small pieces, or in chunks.
func shortBodies(path string, size int) client {
	body := bytes.Repeat([]byte("x"), size-1)
	return func(_ context.Context, c net.Conn, i int) {
		if i%3 == 2 {
			if !write(c, head("POST", path, "Transfer-Encoding: chunked\r\n\r\n")) {
				return
			}
			for rest := body; len(rest) > 0; {
				n := min(len(rest), 4<<10)
				if !write(c, fmt.Appendf(nil, "%x\r\n", n), rest[:n], []byte("\r\n")) {
					return
				}
				rest = rest[n:]
			}
			return
		}
		if !write(c, head("POST", path, fmt.Sprintf("Content-Length: %d\r\n\r\n", size))) {
			return
		}
		piece := len(body)
		if i%3 == 1 {
			piece = 512
		}
		for rest := body; len(rest) > 0; {
			n := min(len(rest), piece)
			if !write(c, rest[:n]) {
				return
			}
			rest = rest[n:]
		}
	}
}

// longBodies sends bodies of 4 GB, stated or in chunks, of which at most 4 MB are sent.
func longBodies(path string) client {
	piece := bytes.Repeat([]byte("x"), 64<<10)
	return func(_ context.Context, c net.Conn, i int) {
		field, before, after := "Content-Length: 4294967296\r\n\r\n", "", ""
		if i%2 == 1 {
			field, before, after = "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n", "\r\n"
		}
		if !write(c, head("POST", path, field)) {
			return
		}
		for range 64 {
			if !write(c, []byte(before), piece, []byte(after)) {
				return
			}
		}
	}
}

// manyFields sends heads with n short fields and a body that does not end.
func manyFields(path string, n int) client {
	fields := fieldsOf(n)
	return func(_ context.Context, c net.Conn, _ int) {
		write(c, head("POST", path, fields, "Content-Length: 4096\r\n\r\nx"))
	}
}

// requestsAhead sends n requests and reads no answer.
func requestsAhead(path string, n int) client {
	const atOnce = 30
	one := append(head("GET", path), "\r\n"...)
	if path == "/" {
		one = []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	ahead := bytes.Repeat(one, atOnce)
	return func(_ context.Context, c net.Conn, _ int) {
		for range n / atOnce {
			if !write(c, ahead) {
				return
			}
		}
	}
}

// slow sends heads or bodies byte by byte, or stops half-way through a head, or sends nothing.
func slow(path string) client {
	return func(ctx context.Context, c net.Conn, i int) {
		rest := head("POST", path, "Content-Length: 4096\r\n")
		switch i % 4 {
		case 0: // a head byte by byte
		case 1: // a body byte by byte
			if !write(c, rest, []byte("\r\n")) {
				return
			}
			rest = bytes.Repeat([]byte("x"), 4096)
		case 2: // half a head
			write(c, rest)
			return
		case 3:
			return
		}
		for _, b := range rest {
			if ctx.Err() != nil || !write(c, []byte{b}) {
				return
			}
			time.Sleep(slowPause)
		}
	}
}

// stalledFrames opens a session with 8 streams, on each of which it sends 2 MB of a frame of 8 MB.
func stalledFrames(_ context.Context, c net.Conn, _ int) {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive, config.LogOutput = false, io.Discard
	session, err := yamux.Client(c, config)
	if err != nil {
		return
	}
	start := binary.BigEndian.AppendUint32(nil, 8<<20)
	piece := bytes.Repeat([]byte{0}, 256<<10)
	var wg sync.WaitGroup
	for range 8 {
		stream, err := session.OpenStream()
		if err != nil {
			return
		}
		_ = stream.SetWriteDeadline(time.Now().Add(writeTime))
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := stream.Write(start); err != nil {
				return
			}
			for range 8 {
				if _, err := stream.Write(piece); err != nil {
					return
				}
			}
		}()
	}
	wg.Wait()
}

// descriptorLimit returns the limit of the operating system on the descriptors of a process whose settings name none.
func (p *proc) descriptorLimit(t *testing.T) int {
	t.Helper()
	limits, err := os.ReadFile(fmt.Sprintf("/proc/%d/limits", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := bytes.Cut(limits, []byte("Max open files"))
	n, err := strconv.Atoi(string(bytes.Fields(after)[0]))
	if err != nil {
		t.Fatal(err)
	}
	return n
}
