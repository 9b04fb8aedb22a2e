package transport

import (
	"bytes"
	"net"
	"testing"
)

type recordingConn struct {
	net.Conn
	writes [][]byte
}

func (c *recordingConn) Write(b []byte) (int, error) {
	c.writes = append(c.writes, bytes.Clone(b))
	return len(b), nil
}

// TestCoalescing guards against frame headers that are sent in a segment of their own, and against buffered control
// frames, which would stall the session.
func TestCoalescing(t *testing.T) {
	inner := new(recordingConn)
	c := &coalescingConn{Conn: inner}
	data := []byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 2}
	window := []byte{0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 9}
	closing := []byte{0, 0, 0, 4, 0, 0, 0, 1, 0, 0, 0, 0}
	for _, b := range [][]byte{window, data, []byte("ab"), closing} {
		if n, err := c.Write(b); n != len(b) || err != nil {
			t.Fatalf("wrote %d of %d bytes: %v", n, len(b), err)
		}
	}
	want := [][]byte{window, append(bytes.Clone(data), "ab"...), closing}
	if len(inner.writes) != len(want) {
		t.Fatalf("%d writes, expected %d", len(inner.writes), len(want))
	}
	for i := range want {
		if !bytes.Equal(inner.writes[i], want[i]) {
			t.Fatalf("write %d is %v, expected %v", i, inner.writes[i], want[i])
		}
	}
}
