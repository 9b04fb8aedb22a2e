package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fake/rawserver"
)

// uploadBytes is more than the socket buffers of a loopback connection to a rawserver hold.
const uploadBytes = 8 << 20

func startRaw(t *testing.T, answer rawserver.Answer) *rawserver.Server {
	t.Helper()
	server, err := rawserver.Start(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	return server
}

// resetWhileWriting is a connection that is reset while the request is written, as the kernel shows it: the write gets the error of the
// connection, and reads return what arrived before, then the end.
type resetWhileWriting struct {
	*net.TCPConn
	response *strings.Reader
	ended    chan struct{}
}

func (c *resetWhileWriting) Write([]byte) (int, error) {
	<-c.ended
	return 0, syscall.ECONNRESET
}

func (c *resetWhileWriting) Read(b []byte) (int, error) {
	n, err := c.response.Read(b)
	if err == io.EOF {
		close(c.ended)
	}
	return n, err
}

// Guards against a part of a body that counts as the whole because the writer of the request got the error of the reset.
func TestAResetThatTheWriterMeetsBreaksOffABodyWithoutLength(t *testing.T) {
	for name, test := range map[string]struct {
		head  string
		whole bool
	}{
		"no length":    {"", false},
		"short length": {"Content-Length: 8\r\n", false},
		"whole length": {"Content-Length: 4\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(_ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() }) // until the client closes
			dialed, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			p := pool()
			p.AddIdle("s", &resetWhileWriting{dialed.(*net.TCPConn),
				strings.NewReader("HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + test.head + "\r\npart"), make(chan struct{})})
			got, err := send(p, address, "1", "x")
			if whole := err == nil; whole != test.whole || got != "part" {
				t.Fatalf("got %q, %v", got, err)
			}
		})
	}
}

// Guards against the same on a real connection, where either side may meet the reset.
func TestAResetBreaksOffABodyWithoutLength(t *testing.T) {
	for name, early := range map[string]bool{"while the request is written": true, "after the request": false} {
		t.Run(name, func(t *testing.T) {
			server := startRaw(t, rawserver.Answer{Early: early, Text: "HTTP/1.1 200 OK\r\n\r\npart", End: rawserver.Reset})
			p, body := pool(), strings.Repeat("b", uploadBytes)
			for i := range 60 {
				if got, err := sendWithin(20*time.Second, p, server.Address, fmt.Sprint(i), body); err == nil {
					t.Fatalf("request %d: no error for the truncated response %q", i, got)
				}
			}
		})
	}
}

// Guards against sound responses that are refused along with broken ones.
func TestABodyThatAProperCloseEndsIsWhole(t *testing.T) {
	for name, answer := range map[string]rawserver.Answer{
		"after the request was read":               {Text: "HTTP/1.1 200 OK\r\n\r\nwhole", End: rawserver.Close},
		"early, the request is read afterwards":    {Early: true, Text: "HTTP/1.1 200 OK\r\n\r\nwhole", End: rawserver.HalfClose},
		"early with a length, then a reset":        {Early: true, Text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", End: rawserver.Reset},
		"early with a length, the rest is read":    {Early: true, Text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
		"early in chunks, the connection is reset": {Early: true, Text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", End: rawserver.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			server := startRaw(t, answer)
			p, body := pool(), strings.Repeat("b", uploadBytes)
			for i := range 8 {
				if got, err := sendWithin(20*time.Second, p, server.Address, fmt.Sprint(i), body); err != nil || got != "whole" {
					t.Fatalf("request %d got %q, %v", i, got, err)
				}
			}
		})
	}
}

// Guards against a response with a malformed head that reaches the caller, keeps it waiting, or leaves its connection in use, also where
// the head was read along with an earlier one.
func TestAResponseWithAMalformedHeadIsAnError(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nX-Id: late\r\nContent-Length: 4\r\n\r\nlate"
	for name, head := range rawserver.MalformedHeads("X-Id: 1\r\n") {
		for _, before := range []string{"", late, "HTTP/1.1 100 Continue\r\n\r\n"} {
			t.Run(fmt.Sprintf("%s after %d bytes", name, len(before)), func(t *testing.T) {
				server := startRaw(t, rawserver.Answer{Text: before + head + "four"})
				p := pool()
				for range 2 {
					if got, err := sendWithin(5*time.Second, p, server.Address, "1", "x"); err == nil || errors.Is(err, context.DeadlineExceeded) {
						t.Fatalf("got %q, %v", got, err)
					}
				}
				if server.Requests() != 2 || server.Connections() != 2 {
					t.Fatalf("%d requests on %d connections", server.Requests(), server.Connections())
				}
			})
		}
	}
}
