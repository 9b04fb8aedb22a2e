package systemtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// ctlResult is one run of pomeloctl.
type ctlResult struct {
	id, out, errors string
	code            int
}

func (s *System) change(id string, args ...string) ctlResult {
	GinkgoHelper()
	out, err := s.ctlOnce(append(args, "-reason", "race", "-change-id", id))
	r := ctlResult{id: id, out: string(out)}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		r.code, r.errors = exit.ExitCode(), string(exit.Stderr)
	} else {
		Expect(err).NotTo(HaveOccurred())
	}
	return r
}

// history returns the change IDs of all accepted changes in order, each once for each row.
func (s *System) history() []string {
	GinkgoHelper()
	var changes []struct {
		ID string `json:"id"`
	}
	Expect(json.Unmarshal([]byte(s.Ctl("history", "-o", "json")), &changes)).To(Succeed())
	var ids []string
	for _, c := range changes {
		ids = append(ids, c.ID)
	}
	return ids
}

type ctlStatus struct {
	Head      int64
	Processes []struct {
		Address string
		Version int64
		Error   string
	}
	InForce struct {
		At       int
		NotHeard []string `json:"not_heard"`
	} `json:"in_force"`
}

func (s *System) status() ctlStatus {
	GinkgoHelper()
	var st ctlStatus
	Expect(json.Unmarshal([]byte(s.Ctl("status", "-hosts", "http://"+s.platform+"/hosts", "-o", "json")), &st)).To(Succeed())
	return st
}

var _ = Describe("the configuration", Ordered, func() {
	const racers, rounds = 6, 5
	var s *System
	BeforeAll(func() {
		var backends []backend
		for i := range 12 {
			backends = append(backends, backend{name: fmt.Sprintf("notices-%d", i+1), dataCentre: engines[i%2].dataCentre, service: notices})
		}
		s = startSystem(layout{gateways: 3, backends: backends, cuttable: true,
			duties: "limits: {enabled: true}\nplanner: {enabled: true}"})
	})

	// Guards against two winners of one version, a change in the history that its author was told is refused,
	// and a refusal that hides what changed.
	DescribeTable("has exactly the accepted changes of operators who race", func(race string, entity func(i int) []string) {
		base := len(s.history())
		accepted := 0
		for round := range rounds {
			results := make([]ctlResult, racers)
			var wg sync.WaitGroup
			for i := range racers {
				wg.Go(func() {
					defer GinkgoRecover()
					id := fmt.Sprintf("%s-%d-%d", race, round, i)
					results[i] = s.change(id, append(entity(i), fmt.Sprintf("weight=%d", 2+round*racers+i))...)
				})
			}
			wg.Wait()
			history := strings.Join(s.history(), " ") + " "
			for _, r := range results {
				switch r.code {
				case 0:
					accepted++
					Expect(r.out).To(ContainSubstring("ACCEPTED"))
					Expect(strings.Count(history, r.id+" ")).To(Equal(1), r.id)
				default:
					Expect(r.code).To(Equal(1), r.errors)
					Expect(r.errors).To(ContainSubstring("Accepted since:\n  version "), "%s does not say what changed", r.id)
					Expect(history).NotTo(ContainSubstring(r.id + " "))
				}
			}
		}
		Expect(s.history()).To(HaveLen(base + accepted))
		Expect(accepted).To(BeNumerically(">=", rounds))
	},
		Entry("of one entity", "same", func(int) []string { return []string{"organisation", "change", "crews"} }),
		Entry("of different entities", "different", func(i int) []string {
			return []string{"organisation", "change", []string{"crews", "clerks"}[i%2]}
		}),
	)

	// Guards against an author who is told the wrong outcome because an answer was lost.
	It("has a true final word when the answer of the write is lost", func() {
		for n := range 3 {
			id := fmt.Sprintf("lost-%d", n)
			s.Control("http://"+s.platform, fmt.Sprintf(`{"lose_answers":%d}`, n+1))
			change := []string{"organisation", "change", "clerks", fmt.Sprintf("weight=%d", 100+n)}
			r := s.change(id, change...)
			s.Control("http://"+s.platform, `{"lose_answers":0}`)
			written := strings.Count(strings.Join(s.history(), " ")+" ", id+" ")
			AddReportEntry(id, fmt.Sprintf("exit code %d, rows in the history %d", r.code, written))
			switch r.code {
			case 0:
				Expect(written).To(Equal(1))
			case 3: // unknown: the repeat must tell
				r = s.change(id, change...)
				Expect(r.code).To(BeZero(), r.errors)
				Expect(strings.Count(strings.Join(s.history(), " ")+" ", id+" ")).To(Equal(1))
			default:
				Expect(written).To(BeZero(), r.errors)
			}
		}
	})

	// Guards against processes that get a change late.
	It("is in force in 12 sidecars and 3 gateways within 10 s", func() {
		for n := range 2 {
			s.Ctl("organisation", "change", "crews", fmt.Sprintf("weight=%d", 200+n), "-reason", "timed")
			accepted := time.Now()
			Eventually(func(g Gomega) {
				st := s.status()
				g.Expect(st.InForce.At).To(Equal(15))
				g.Expect(st.InForce.NotHeard).To(BeEmpty())
			}, inForce, "100ms").Should(Succeed())
			AddReportEntry("in force after", time.Since(accepted).String())
		}
	})

	// Guards against a gateway that does not start without the table service, and against one that shows an
	// older version than its peer gave it.
	It("is a peer's copy in a gateway that starts without the table service", func() {
		last := s.procs["gateway-3"]
		before := s.status().Head
		last.Kill()
		s.Ctl("organisation", "change", "crews", "weight=300", "-reason", "while it is away")
		Eventually(func() int { return s.status().InForce.At }, inForce, "100ms").Should(BeNumerically(">=", 14))
		s.Forwarder.Cut()
		s.Control("http://"+s.platform, `{"away":true}`)
		defer s.Control("http://"+s.platform, `{"away":false}`)
		started := time.Now()
		last.Restart()
		s.awaitOK(s.gateways[2] + "/readyz")
		AddReportEntry("ready after", time.Since(started).String())
		for time.Since(started) < inForce/2 {
			var out ctlStatus
			raw, _ := s.ctlOnce([]string{"status", "-peers", s.peers[2], "-timeout", "200ms", "-o", "json"})
			if json.Unmarshal(raw, &out) != nil || len(out.Processes) == 0 || out.Processes[0].Error != "" {
				continue
			}
			Expect(out.Processes[0].Version).To(Equal(before + 1))
		}
		r := s.Call(request{method: "GET", url: s.gateways[2] + "/services/" + notices + "/health"})
		Expect(r.status).To(Equal(200), r.body)
	})
})
