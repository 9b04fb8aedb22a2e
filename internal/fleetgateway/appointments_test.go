package fleetgateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/appointment"
	"github.com/pomelowheel/pomelowheel/internal/bootclock"
	fake "github.com/pomelowheel/pomelowheel/internal/fake/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleet"
	"github.com/pomelowheel/pomelowheel/internal/fleetgateway"
	"github.com/pomelowheel/pomelowheel/internal/fleetroute"
	"github.com/pomelowheel/pomelowheel/internal/memorybudget"
)

// contendedGateway is a gateway whose servers' load a test sets.
type contendedGateway struct {
	*testGateway
	table *fleetroute.Table
	book  *appointment.Book
}

// newContendedGateway starts a gateway with a covered service: a target of 2 s, of which the most urgent requests may wait 1.2 s and
// those of the tests, whose priority is one lower, 0.78 s or more as they wait, and a timeout of 20 targets. The bodies of the requests that wait have half of the given bytes, and those of all requests all of them.
func newContendedGateway(seed uint64, bodyBytes int64) contendedGateway {
	GinkgoHelper()
	r := route(stream, 40*time.Second)
	r.Target, r.MaxEventGap = 2*time.Second, 0 // without bounds on pauses, only the wait ahead decides
	g := contendedGateway{table: fleetroute.NewTable(), book: appointment.New(seed)}
	g.testGateway = newTestGatewayWithOptions("1", func(o *fleetgateway.Options) {
		o.Table, o.Appointments = g.table, g.book
		o.Bodies, o.ShortBodies = memorybudget.New(bodyBytes), memorybudget.New(1)
	}, r, engine, func(c *fleet.Configuration) {
		c.Organisations["urgent"] = &fleet.Organisation{Name: "urgent", HasPriority: true, Priority: r.Priority - 1}
	})
	return g
}

// setLoad makes the gateway believe that a server has prompts outstanding for the given time.
func (g contendedGateway) setLoad(server string, wait time.Duration) {
	tokens := g.table.PrefillRate("m") * float64(wait) / float64(time.Millisecond)
	load := fleetroute.Load{Prefill: tokens}
	if tokens > 0 {
		load.InFlight = 1 // loads without requests are ignored
	}
	g.table.UpdatePeer("peer", bootclock.Now(), map[string]fleetroute.Load{server: load}, true)
}

// Guards against a caller that is refused, returns to another gateway when it was told to, and still waits behind new requests.
var _ = It("serves a refused caller that returns as told to another gateway before a new one", func() {
	var mu sync.Mutex
	var order []string
	record := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		order = append(order, r.Header.Get("X-Request-Id"))
		mu.Unlock()
		for i := range 2 {
			_, _ = w.Write([]byte(fake.Event(r.Header.Get("X-Request-Id"), i))) // the gateway may have left
		}
	}
	body := strings.Repeat("x", 6<<10)
	first, second := newContendedGateway(1, 8<<10), newContendedGateway(2, 1<<20)
	b := first.addBackend("i-1", record, "m")
	second.update(b, func(*fleet.Replica) {})
	setLoad := func(wait time.Duration) {
		first.setLoad("i-1", wait)
		second.setLoad("i-1", wait)
	}
	caller := map[string]string{
		"X-Model": "m", "X-Token-Usage": "100,10", "X-Prompt-Prefix": "shared:50,session:50", "X-Deadline-Ms": "9000",
	}
	newcomer := map[string]string{
		"X-Model": "m", "X-Token-Usage": "100,10", "X-Prompt-Prefix": "shared:50,other:50", "X-Deadline-Ms": "9000",
	}

	setLoad(1400 * time.Millisecond)
	refusedAt := time.Now()
	refused := first.sendAs("refused", http.MethodPost, "/a/", caller, body)
	Expect(refused.err).NotTo(HaveOccurred())
	Expect(refused.status).To(Equal(http.StatusServiceUnavailable), refused.body)
	after, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	Expect(err).NotTo(HaveOccurred())
	Expect(first.lines(`"appointment made"`)).To(HaveLen(1))
	changes, _ := first.book.After(bootclock.Now(), 0)
	Expect(second.book.Receive(bootclock.Now(), changes)).To(Succeed())

	fresh := second.inBackground("new", newcomer)
	Eventually(second.server.Waiting, "2s", "2ms").Should(BeEquivalentTo(1))
	time.Sleep(time.Until(refusedAt.Add(time.Duration(after * float64(time.Second)))))
	setLoad(1400 * time.Millisecond) // loads of peers expire
	returned := second.inBackground("returned", caller)
	Eventually(second.server.Waiting, "2s", "2ms").Should(BeEquivalentTo(2))
	setLoad(time.Second) // within the allowance of the most urgent requests only
	served := <-returned
	Expect(served.status).To(Equal(http.StatusOK))
	Expect(served.duration).To(BeNumerically("<", time.Second), "the time after which its allowance would cover the wait without an appointment")
	setLoad(0)
	Expect((<-fresh).status).To(Equal(http.StatusOK))
	mu.Lock()
	defer mu.Unlock()
	Expect(order).To(Equal([]string{"returned", "new"}))
	Expect(second.lines(`"appointment redeemed"`)).To(HaveLen(1))
})
