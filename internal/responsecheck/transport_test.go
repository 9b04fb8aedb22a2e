package responsecheck_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
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

// Guards against a malformed response that is delivered, repeated by net/http, or followed by another request on its connection.
func TestAMalformedResponseEndsItsConnection(t *testing.T) {
	for name, head := range rawserver.MalformedHeads("") {
		t.Run(name, func(t *testing.T) {
			server, err := rawserver.Start(rawserver.Answer{Text: head + "four"})
			if err != nil {
				t.Fatal(err)
			}
			defer server.Stop()
			client := &http.Client{Transport: responsecheck.NewTransport(&http.Transport{})}
			for i := 1; i <= 3; i++ {
				response, err := client.Get("http://" + server.Address)
				if err == nil {
					_ = response.Body.Close()
					t.Fatalf("got status %d", response.StatusCode)
				}
				if server.Requests() != i || server.Connections() != i {
					t.Fatalf("%d requests on %d connections after %d calls", server.Requests(), server.Connections(), i)
				}
			}
		})
	}
}

// Guards against a response that net/http requests again because it came on a connection in use again, and against responses that are not
// checked there.
func TestAMalformedResponseOnAKeptConnectionIsNotRequestedAgain(t *testing.T) {
	server, err := rawserver.Start(rawserver.Answer{Text: "HTTP/1.1 ID Status\r\nContent-Length: 0\r\n\r\n"})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	client := &http.Client{Transport: responsecheck.NewTransport(&http.Transport{})}
	get := func(status string) error {
		request, err := http.NewRequest(http.MethodGet, "http://"+server.Address, nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Request-Id", status)
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
	if err := errors.Join(get("200"), get("404")); err != nil || server.Connections() != 1 {
		t.Fatalf("%v, %d connections", err, server.Connections())
	}
	if err := get("000"); !errors.Is(err, responsecheck.ErrStatus) {
		t.Fatalf("error %v, expected ErrStatus", err)
	}
	if err := get("200"); err != nil || server.Connections() != 2 || server.Requests() != 4 {
		t.Fatalf("%v, %d requests on %d connections", err, server.Requests(), server.Connections())
	}
}

// Guards against checks on plain connections only.
func TestMalformedResponsesAreRefusedOverTLS(t *testing.T) {
	t.Run("status", func(t *testing.T) { testOverTLS(t, "HTTP/1.1 000 Trouble\r\n", responsecheck.ErrStatus) })
	t.Run("field", func(t *testing.T) { testOverTLS(t, "HTTP/1.1 200 OK\r\nX Note: a\r\n", responsecheck.ErrFieldName) })
}

func testOverTLS(t *testing.T, head string, expected error) {
	var connections atomic.Int64
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		connections.Add(1)
		c, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = buffer.WriteString(head + "Content-Length: 0\r\n\r\n")
		_ = buffer.Flush()
		_, _ = buffer.ReadByte() // until the client closes
	}))
	defer server.Close()
	settings := server.Client().Transport.(*http.Transport).TLSClientConfig
	client := &http.Client{Transport: responsecheck.NewTransport(&http.Transport{TLSClientConfig: settings})}
	for i := int64(1); i <= 2; i++ {
		if response, err := client.Get(server.URL); !errors.Is(err, expected) || connections.Load() != i {
			t.Fatalf("response %v, error %v, %d connections", response, err, connections.Load())
		}
	}
}

// Guards against an answer that a server sent before it had a request.
func TestBytesBeforeTheRequestAreNoResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n")
			defer func() { _ = c.Close() }()
		}
	}()
	for range 200 {
		if _, err := send(responsecheck.NewTransport(&http.Transport{}), l.Addr().String(), "x"); err == nil {
			t.Fatal("no error")
		}
	}
}
