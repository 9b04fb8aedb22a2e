package configsync_test

import (
	"context"
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
		seen := make(chan int64, 10)
		s.Subscribe(func(n *config.Snapshot) { seen <- n.Version() })
		done := make(chan error, 2)
		go func() { done <- g.Run(ctx) }()
		synctest.Wait()
		go func() { done <- s.Run(ctx) }()
		Expect(<-seen).To(Equal(int64(1)))
		for want := int64(2); want < 8; want++ {
			accepted := time.Now()
			f.accept()
			Expect(<-seen).To(Equal(want))
			Expect(time.Since(accepted)).To(BeNumerically("<=", 8*time.Second))
		}
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
