package descriptors_test

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/descriptors"
)

// Guards against shares that leave nothing for connections that requests in progress need, or that refuse everybody.
func TestSharesLeaveAConnectionToAServerForEachCaller(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := rapid.IntRange(64, 1<<20).Draw(t, "allowance")
		s := descriptors.Divide(allowance)
		if s.Callers < 1 || s.IdleServers < 1 || s.PeerSessions < 1 || s.Operators < 1 {
			t.Fatalf("an empty share of %d: %+v", allowance, s)
		}
		if beside := descriptors.DivideBeside(allowance); beside.PeerSessions+2*beside.Operators >= allowance {
			t.Fatalf("nothing left of %d beside %+v", allowance, beside)
		}
		if left := allowance - s.Callers - s.PeerSessions - 2*s.Operators; left < s.Callers-s.Callers/4 || left < s.IdleServers {
			t.Fatalf("%d of %d left beside %+v", left, allowance, s)
		}
	})
}

// Guards against a dial that fails although idle connections could be given back, and against a source that is asked before
// one that was added earlier.
func TestADialReclaimsIdleConnectionsInOrder(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var asked []string
	short := true
	r := descriptors.NewReclaimer(slog.New(slog.DiscardHandler))
	r.Add("none", func(int) int { asked = append(asked, "none"); return 0 })
	r.Add("some", func(n int) int { asked = append(asked, "some"); short = false; return n })
	r.Add("last", func(n int) int { asked = append(asked, "last"); return n })
	dial := r.Dial(&net.Dialer{Control: func(string, string, syscall.RawConn) error {
		if short {
			return syscall.EMFILE
		}
		return nil
	}})
	conn, err := dial(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatalf("dial failed: %v", err)
	}
	_ = conn.Close()
	if !slices.Equal(asked, []string{"none", "some"}) || r.Short() != 1 {
		t.Errorf("asked %v, short %d times", asked, r.Short())
	}
}
