package upstream

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

// endProbeTime is how long a new connection must stay open for its server to count as running: a forwarder in front of a server
// that has ended accepts connections and closes them at once.
const endProbeTime = 50 * time.Millisecond

// Ended reports whether no process serves an address: it refuses a new connection, or closes it at once. It returns an error if
// that cannot be told, for example because the address does not answer.
func (p *Pool) Ended(ctx context.Context, address string) (bool, error) {
	p.dials.Add(1)
	conn, err := p.dial(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(endProbeTime)); err != nil {
		return false, err
	}
	if _, err = conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
		return false, nil
	}
	return err != nil, nil
}
