package upstream_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelowheel/pomelowheel/internal/upstream"
)

// Guards against idle connections to many servers that together use up the descriptors of the process.
func TestIdleConnectionsStayWithinTheBound(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			if _, err := l.Accept(); err != nil { // the other end stays open, so that the connection seems usable
				return
			}
		}
	}()
	rapid.Check(t, func(t *rapid.T) {
		const most = 20
		p := upstream.NewPool(upstream.Options{DialTimeout: time.Millisecond, MaxIdle: 4, MaxIdleAll: most})
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			server := fmt.Sprint("s", rapid.IntRange(0, 30).Draw(t, "server"))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				p.Forget(server)
			case 1:
				p.CloseIdle(rapid.IntRange(1, 5).Draw(t, "closed"))
			case 2:
				p.CloseExpired(time.Now().Add(time.Hour))
			case 3:
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				_, _ = p.Do(ctx, upstream.Request{Server: server, Address: "127.0.0.1:1"}) // takes an idle connection at most
			default:
				client, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				p.AddIdle(server, client)
			}
			if counted, actual := p.IdleCount(); counted != actual || actual > most {
				t.Fatalf("%d idle connections, counted %d, at most %d", actual, counted, most)
			}
		}
		p.CloseIdle(most)
	})
}
