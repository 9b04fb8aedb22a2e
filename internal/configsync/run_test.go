package configsync_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/configsync"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Guards against a change that takes longer than the allowed time to reach every copy when it spreads only by
// polls.
func TestRunInForceWithinBound(t *testing.T) {
	RegisterTestingT(t)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := newCluster()
		f.accept()
		ask := make(map[string]*configsync.Copy)
		build := func(name string, store tablestore.Store, poll time.Duration) *configsync.Copy {
			c := configsync.New(configsync.Options{
				Store: store, PollInterval: poll, Peers: func() []string { return []string{"g"} },
				Identity: &wirepb.Identity{Address: name},
				FetchDelta: func(_ context.Context, a string, r *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error) {
					return ask[a].ServeConfig(r), nil
				},
			})
			ask[name] = c
			return c
		}
		g, s := build("g", f.store, 4*time.Second), build("s", nil, 3*time.Second)
		seen, done := runBoth(ctx, g, s)
		f.inForceEach(seen, 6)
		// Copies still follow a table service that is slow but answers.
		f.store.SetDelay(1200 * time.Millisecond)
		f.accept() // takes effect when it returns
		accepted := time.Now()
		Expect(<-seen).To(Equal(int64(8)))
		Expect(time.Since(accepted)).To(BeNumerically("<=", 10*time.Second))
		cancel()
		<-done
		<-done
	})
}

// runBoth runs gateway, which has version 1, and then follower. It returns the versions that follower gets after its first,
// and the results of both.
func runBoth(ctx context.Context, gateway, follower *configsync.Copy) (seen <-chan int64, done <-chan error) {
	versions, results := make(chan int64, 10), make(chan error, 2)
	follower.Subscribe(func(n *config.Snapshot) { versions <- n.Version() })
	go func() { results <- gateway.Run(ctx) }()
	synctest.Wait()
	go func() { results <- follower.Run(ctx) }()
	Expect(<-versions).To(Equal(int64(1)))
	return versions, results
}

// inForceEach accepts changes one after another, from version 2 on, and expects each at the follower in time.
func (f *cluster) inForceEach(seen <-chan int64, changes int) {
	for range changes {
		accepted := time.Now()
		want := f.accept()
		Expect(<-seen).To(Equal(want))
		Expect(time.Since(accepted)).To(BeNumerically("<=", 8*time.Second), "version %d", want)
	}
}

// Guards against a change that reaches a process polls too late, because each time it asked a peer first that did not
// answer, or that had no configuration, and asked no other.
func TestRunInForceWithinBoundBesideAPeerWithoutAnswer(t *testing.T) {
	for name, answer := range map[string]func() (*wirepb.ConfigDelta, error){
		"unreachable":      func() (*wirepb.ConfigDelta, error) { return nil, errors.New("connection refused") },
		"no configuration": func() (*wirepb.ConfigDelta, error) { return &wirepb.ConfigDelta{ConfirmedAgeMs: -1}, nil },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				inForceBeside(t.Context(), answer)
			})
		})
	}
}

// inForceBeside accepts changes one after another, and expects each in the copy of a process whose peers are a gateway and a
// process that answers with answer.
func inForceBeside(ctx context.Context, answer func() (*wirepb.ConfigDelta, error)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := newCluster()
	f.accept()
	g := configsync.New(configsync.Options{Store: f.store, PollInterval: 4 * time.Second, Peers: func() []string { return nil }})
	s := configsync.New(configsync.Options{
		PollInterval: 3 * time.Second, Peers: func() []string { return []string{"g", "other"} },
		FetchDelta: func(_ context.Context, address string, r *wirepb.ConfigRequest) (*wirepb.ConfigDelta, error) {
			if address == "other" {
				return answer()
			}
			return g.ServeConfig(r), nil
		},
	})
	seen, done := runBoth(ctx, g, s)
	f.inForceEach(seen, 98)
	cancel()
	<-done
	<-done
}
