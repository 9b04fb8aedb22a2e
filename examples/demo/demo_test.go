// Package demo tests that the settings and the configuration of the loopback example load.
package demo

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/operator"
	"github.com/pomelowheel/pomelowheel/internal/settings"
)

func TestDemo(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demo example")
}

// Guards against changes of the settings or configuration types that the example does not follow.
var _ = Describe("the demo example", func() {
	It("has settings that load", func() {
		_, err := settings.LoadGateway("gateway.yml")
		Expect(err).NotTo(HaveOccurred())
		for _, name := range []string{"brush-1", "brush-2", "ledger-1"} {
			_, err := settings.LoadSidecar("sidecar-" + name + ".yml")
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("has a bundle whose keys and references resolve", func() {
		raw, err := os.ReadFile("bundle.yml")
		Expect(err).NotTo(HaveOccurred())
		bundle, err := operator.ParseBundle(raw)
		Expect(err).NotTo(HaveOccurred())
		entities, err := bundle.Entities()
		Expect(err).NotTo(HaveOccurred())
		for i := range entities {
			entities[i].Version = 1
		}
		snapshot, err := new(config.Snapshot).Apply(1, entities)
		Expect(err).NotTo(HaveOccurred())
		for _, secret := range []string{"demo-crews-key", "demo-clerks-key"} {
			key, ok := snapshot.FindKey(secret)
			Expect(ok).To(BeTrue())
			_, ok = snapshot.Organisation(key.Organisation)
			Expect(ok).To(BeTrue())
		}
		for _, s := range snapshot.Services() {
			_, ok := snapshot.Profile(s.Profile)
			Expect(ok).To(BeTrue())
		}
		for _, m := range snapshot.Models() {
			_, ok := snapshot.Service(m.Service)
			Expect(ok).To(BeTrue())
		}
	})
})
