package main

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/configsync"
	"github.com/pomelowheel/pomelowheel/internal/refusals"
	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/sidecar"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/vardoc"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Guards against a published metric that docs/OPERATIONS.md does not document, and a documented one that is not
// published.
func TestDocumentedVars(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.LoadSidecar("../../internal/settings/testdata/sidecar.yml")
	g.Expect(err).NotTo(HaveOccurred())
	store := tablestore.NewCountingStore(tablestore.NewMemory())
	pool := transport.NewPool(nil)
	t.Cleanup(pool.Close)
	server := sidecar.New(sidecar.Options{
		Settings: s, Store: store, Log: slog.New(slog.DiscardHandler),
		Config: configsync.New(configsync.Options{Pool: pool, Identity: new(wirepb.Identity), Log: slog.New(slog.DiscardHandler)}),
	})
	all := vars(server, store, nil, new(refusals.Set))
	documented, err := vardoc.Documented("../../docs/OPERATIONS.md", "Sidecar")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(vardoc.Published(all)).To(ConsistOf(documented))
	for name, v := range all {
		g.Expect(v.String()).NotTo(BeEmpty(), name)
	}
}

// fakeConfig is a Config whose snapshot a test can replace.
type fakeConfig struct{ snapshot *config.Snapshot }

func (c *fakeConfig) Snapshot() *config.Snapshot    { return c.snapshot }
func (c *fakeConfig) Confirm(context.Context) error { return nil }

// Guards against a sidecar that reports itself ready before it has a configuration or while it drains.
func TestReadiness(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.LoadSidecar("../../internal/settings/testdata/sidecar_plain.yml")
	g.Expect(err).NotTo(HaveOccurred())
	s.Shutdown.NoticeDelay = 0
	configuration := &fakeConfig{snapshot: new(config.Snapshot)}
	server := sidecar.New(sidecar.Options{
		Settings: s, Store: tablestore.NewMemory(), Log: slog.New(slog.DiscardHandler), Config: configuration,
	})
	get := func(path string) int {
		w := httptest.NewRecorder()
		debugHandler(server.Ready).ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w.Code
	}
	g.Expect(get("/readyz")).To(Equal(http.StatusServiceUnavailable))
	dataCentre, err := config.NewEntity(config.DataCentre{Name: s.Process.DataCentre})
	g.Expect(err).NotTo(HaveOccurred())
	dataCentre.Version = 1
	configuration.snapshot, err = configuration.snapshot.Apply(1, []config.Entity{dataCentre})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(get("/readyz")).To(Equal(http.StatusOK))
	g.Expect(server.Drain(context.Background())).To(Succeed())
	g.Expect(get("/readyz")).To(Equal(http.StatusServiceUnavailable))
	g.Expect(get("/healthz")).To(Equal(http.StatusOK))
	g.Expect(get("/debug/vars")).To(Equal(http.StatusOK))
}
