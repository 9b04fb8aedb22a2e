package responsecheck_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/pomelowheel/pomelowheel/internal/fake/rawserver"
	"github.com/pomelowheel/pomelowheel/internal/responsecheck"
)

// resetWhileWriting is a connection that is reset while the request is written, as the kernel shows it: the write gets the error of the
// connection, and reads return what arrived before, then the end.
type resetWhileWriting struct {
	net.Conn
	response *strings.Reader
	begun    chan struct{}
	ended    chan struct{}
	once     sync.Once
}

func (c *resetWhileWriting) Write([]byte) (int, error) {
	close(c.begun)
	<-c.ended
	return 0, syscall.ECONNRESET
}

func (c *resetWhileWriting) Read(b []byte) (int, error) {
	<-c.begun
	n, err := c.response.Read(b)
	if err == io.EOF {
		c.once.Do(func() { close(c.ended) })
	}
	return n, err
}

// send makes a POST call over t and returns the body of the response.
func send(t http.RoundTripper, address, body string) (string, error) {
	response, err := (&http.Client{Transport: t}).Post("http://"+address, "text/plain", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// Guards against a part of a body that counts as the whole because the writer of the request got the error of the reset.
func TestAResetThatTheWriterMeetsBreaksOffABodyWithoutLength(t *testing.T) {
	for head, whole := range map[string]bool{"": false, "Content-Length: 8\r\n": false, "Content-Length: 4\r\n": true} {
		transport := responsecheck.NewTransport(&http.Transport{
			DialContext: func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				t.Cleanup(func() { _ = server.Close() })
				return &resetWhileWriting{Conn: client, response: strings.NewReader("HTTP/1.1 200 OK\r\n" + head + "\r\npart"),
					begun: make(chan struct{}), ended: make(chan struct{})}, nil
			},
		})
		if got, err := send(transport, "server.example", "x"); (err == nil) != whole || got != "part" {
			t.Errorf("head %q: got %q, %v", head, got, err)
		}
	}
}

// Guards against sound responses that are refused along with broken ones.
func TestABodyThatAProperCloseEndsIsWhole(t *testing.T) {
	for name, answer := range map[string]rawserver.Answer{
		"after the request was read":            {Text: "HTTP/1.1 200 OK\r\n\r\nwhole", End: rawserver.Close},
		"early, the request is read afterwards": {Early: true, Text: "HTTP/1.1 200 OK\r\n\r\nwhole", End: rawserver.HalfClose},
		"early with a length":                   {Early: true, Text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
		"in chunks":                             {Text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := rawserver.Start(answer)
			if err != nil {
				t.Fatal(err)
			}
			defer server.Stop()
			transport := responsecheck.NewTransport(&http.Transport{})
			for i := range 8 {
				if got, err := send(transport, server.Address, strings.Repeat("u", 8<<20)); err != nil || got != "whole" {
					t.Fatalf("request %d got %q, %v", i, got, err)
				}
			}
		})
	}
}
