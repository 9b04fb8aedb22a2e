package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// sent is a request of a consumer and its answer.
type sent struct {
	id, gateway, key, path string
	at                     time.Time
	status                 int // 0 without a whole answer
	body                   string
	failure                string
}

var requestNumber atomic.Int64

// client is a consumer that keeps one connection to each gateway.
type client struct {
	record *record
	host   string
	conns  map[string]*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func newClient(rec *record, host string) *client {
	return &client{record: rec, host: host, conns: make(map[string]*clientConn)}
}

func (c *client) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// ask sends a request to a gateway and waits for its answer, at most for the deadline.
func (c *client) ask(gateway, method, path, key string, deadline time.Duration, header, body string) *sent {
	q := &sent{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1)), gateway: gateway, key: key, path: path, at: time.Now()}
	conn := c.conns[gateway]
	if conn == nil {
		netConn, err := net.DialTimeout("tcp", gateway, time.Second)
		if err != nil {
			q.failure = "no connection"
			c.record.add("consumer: %s %s to %s: no connection", q.id, path, gateway)
			return q
		}
		conn = &clientConn{netConn, bufio.NewReader(netConn)}
		c.conns[gateway] = conn
	}
	_ = conn.SetDeadline(q.at.Add(deadline + 500*time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s", method, path, c.host, q.id,
		deadline.Milliseconds(), header)
	if key != "" {
		head += "Authorization: Bearer " + key + "\r\n"
	}
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(conn, head+"\r\n"+body)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(conn.reader, &http.Request{Method: method})
	}
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		q.body = string(data)
	}
	if err != nil {
		q.failure = err.Error()
		_ = conn.Close()
		delete(c.conns, gateway)
		c.record.add("consumer: %s %s key %s to %s: no whole answer: %v", q.id, path, key, gateway, err)
		return q
	}
	q.status = resp.StatusCode
	if resp.Close {
		_ = conn.Close()
		delete(c.conns, gateway)
	}
	c.record.add("consumer: %s %s key %s to %s: %d %s", q.id, path, key, gateway, q.status, strings.TrimSpace(q.body))
	return q
}

// promisesNotRun reports whether the answer says that the request has not run and never will.
func (q *sent) promisesNotRun() bool {
	return q.status == 429 || q.status == 503 || q.status == 408 || q.status == 421
}
