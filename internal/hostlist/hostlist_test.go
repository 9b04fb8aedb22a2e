package hostlist_test

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/fake/platform"
	"github.com/pomelowheel/pomelowheel/internal/hostlist"
)

func TestHostList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hostlist")
}

const (
	gateway = "127.0.0.1:7001"
	sidecar = "127.0.0.1:7101"
)

var _ = Describe("host list", func() {
	ctx := context.Background()
	var fake *platform.Server
	var server *httptest.Server
	var list *hostlist.List
	now := time.Now()
	BeforeEach(func() {
		now = time.Now()
		fake = platform.New(platform.Options{
			Now: func() time.Time { return now },
			Hosts: []platform.Host{
				{Address: gateway, Host: "g", DataCentre: "gulberg", Role: "gateway"},
				{Address: sidecar, Host: "s", DataCentre: "gulberg", Role: "sidecar"},
			},
		})
		server = httptest.NewServer(fake)
		DeferCleanup(server.Close)
		list = hostlist.New(hostlist.Options{URL: server.URL + "/hosts", Now: func() time.Time { return now }})
		Expect(list.Poll(ctx)).To(Succeed())
	})

	It("reports roles, leaving hosts and removed hosts", func() {
		Expect(list.Gateways()).To(Equal([]string{gateway}))
		Expect(list.Sidecars()).To(Equal([]string{sidecar}))
		fake.Apply(platform.Control{SetHost: &platform.Host{Address: sidecar, Role: "sidecar", State: "leaving"}})
		Expect(list.Poll(ctx)).To(Succeed())
		Expect(list.Leaving(sidecar)).To(BeTrue())
		Expect(list.Removed(sidecar)).To(BeFalse())
		address := sidecar
		fake.Apply(platform.Control{RemoveHost: &address})
		Expect(list.Poll(ctx)).To(Succeed())
		Expect(list.Poll(ctx)).To(Succeed())
		Expect(list.Removed(sidecar)).To(BeTrue())
		Expect(list.Removed("127.0.0.1:9")).To(BeFalse())
		fake.Apply(platform.Control{SetHost: &platform.Host{Address: sidecar, Role: "sidecar"}})
		Expect(list.Poll(ctx)).To(Succeed())
		Expect(list.Removed(sidecar)).To(BeFalse())
	})

	// Guards against a takeover caused by one truncated list.
	It("takes neither one absence nor an empty list for a removal", func() {
		address := sidecar
		fake.Apply(platform.Control{RemoveHost: &address})
		Expect(list.Poll(ctx)).To(Succeed())
		Expect(list.Removed(sidecar)).To(BeFalse())
		Expect(list.Sidecars()).To(Equal([]string{sidecar}))
		fake.Apply(platform.Control{Hosts: &[]platform.Host{}})
		Expect(list.Poll(ctx)).NotTo(Succeed())
		Expect(list.Poll(ctx)).NotTo(Succeed())
		Expect(list.Gateways()).To(Equal([]string{gateway}))
	})

	// Guards against transferring an unchanged list again, and against an absence that is never confirmed because the answer
	// is "not modified".
	It("does not read an unchanged list again and confirms an absence by it", func() {
		var statuses []int
		counting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			recorder := httptest.NewRecorder()
			fake.ServeHTTP(recorder, r)
			statuses = append(statuses, recorder.Code)
			maps.Copy(w.Header(), recorder.Header())
			w.WriteHeader(recorder.Code)
			_, _ = w.Write(recorder.Body.Bytes())
		}))
		defer counting.Close()
		list := hostlist.New(hostlist.Options{URL: counting.URL + "/hosts", Now: func() time.Time { return now }})
		Expect(list.Poll(ctx)).To(Succeed())
		address := sidecar
		fake.Apply(platform.Control{RemoveHost: &address})
		Expect(list.Poll(ctx)).To(Succeed())
		Expect(list.Removed(sidecar)).To(BeFalse())
		now = now.Add(time.Second)
		Expect(list.Poll(ctx)).To(Succeed())
		Expect(statuses).To(Equal([]int{http.StatusOK, http.StatusOK, http.StatusNotModified}))
		Expect(list.Removed(sidecar)).To(BeTrue())
		age, _ := list.Age()
		Expect(age).To(BeZero())
	})

	// Guards against keeping the entity tag of a refused list: a later "not modified" would put that list into use.
	It("does not condition a read on a list that it refused", func() {
		fake.Apply(platform.Control{Hosts: &[]platform.Host{}})
		for range 3 {
			Expect(list.Poll(ctx)).NotTo(Succeed())
		}
		Expect(list.Gateways()).To(Equal([]string{gateway}))
	})

	It("keeps the last list, with its age, while the host list is unavailable", func() {
		server.Close()
		now = now.Add(time.Minute)
		Expect(list.Poll(ctx)).NotTo(Succeed())
		Expect(list.Gateways()).To(Equal([]string{gateway}))
		age, ok := list.Age()
		Expect(ok).To(BeTrue())
		Expect(age).To(Equal(time.Minute))
	})

	It("reports a changed list once the lag of the platform has passed", func() {
		lag := int64(10000)
		fake.Apply(platform.Control{LagMS: &lag})
		now = now.Add(time.Hour)
		fake.Apply(platform.Control{SetHost: &platform.Host{Address: "127.0.0.1:7002", Role: "gateway"}})
		Expect(list.Poll(ctx)).To(Succeed())
		Expect(list.Gateways()).To(HaveLen(1))
		now = now.Add(10 * time.Second)
		Expect(list.Poll(ctx)).To(Succeed())
		Expect(list.Gateways()).To(HaveLen(2))
	})
})

// Guards against a list from the platform that causes a panic or yields an address that cannot be dialled.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`[{"targets":["127.0.0.1:1"],"labels":{"role":"gateway","state":"live"}}]`))
	f.Add([]byte(`[{"targets":["x"],"labels":null}]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		hosts, err := hostlist.Parse(body)
		for _, h := range hosts {
			if err != nil || h.Address == "" || h.Role == "" {
				t.Fatalf("got %+v, error %v", h, err)
			}
		}
	})
}
