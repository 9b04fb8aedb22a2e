package systemtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os/exec"
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

// allChanges is more than the changes of any spec. pomeloctl lists the newest 20 if it is not told how many.
const allChanges = "1000"

// history returns the change IDs of all accepted changes in order, each once for each row.
func (s *System) history() []string {
	GinkgoHelper()
	var changes []struct {
		ID string `json:"id"`
	}
	Expect(json.Unmarshal([]byte(s.Ctl("history", "-n", allChanges, "-o", "json")), &changes)).To(Succeed())
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

// Specs of raceOperators.
const (
	racers, rounds = 6, 5
	// These guard against two winners of one version, a change in the history that its author was told is refused,
	// and a refusal that hides what changed.
	raceSame      = "the history has exactly the accepted changes of operators who race with changes of one entity"
	raceDifferent = "the history has exactly the accepted changes of operators who race with changes of different entities"
	// Guards against an author who is told the wrong outcome because an answer was lost.
	finalWord = "the final word on a change is true when the answer of its write is lost"
	// Guards against processes that get a change late.
	inForceInTime = "a change is in force in 12 sidecars and 3 gateways within 10 s"
	// Guards against a gateway that does not start without the table service, and against one that shows an older
	// version than its peer gave it.
	peersCopy = "a gateway that starts without the table service has the peers' copy and never an older one"
)

func raceOperators(v *verdicts) {
	var backends []backend
	for i := range 12 {
		backends = append(backends, backend{name: fmt.Sprintf("notices-%d", i+1), dataCentre: engines[i%2].dataCentre, service: notices})
	}
	s := startSystem(layout{gateways: 3, backends: backends, cuttable: true,
		duties: "limits: {enabled: true}\nplanner: {enabled: true}"})
	s.race(v.of(raceSame), "same", func(int) string { return "crews" })
	s.race(v.of(raceDifferent), "different", func(i int) string { return []string{"crews", "clerks"}[i%2] })
	s.loseAnswers(v.of(finalWord))
	s.timeChange(v.of(inForceInTime))
	s.startFromPeer(v.of(peersCopy))
}

// race lets operators change the weight of organisations at the same time.
func (s *System) race(g Gomega, name string, organisation func(i int) string) {
	base, accepted := len(s.history()), 0
	for round := range rounds {
		results := make([]ctlResult, racers)
		var wg sync.WaitGroup
		for i := range racers {
			wg.Go(func() {
				defer GinkgoRecover()
				weight := fmt.Sprintf("weight=%d", 2+round*racers+i)
				results[i] = s.change(fmt.Sprintf("%s-%d-%d", name, round, i), "organisation", "change", organisation(i), weight)
			})
		}
		wg.Wait()
		history := s.history()
		for _, r := range results {
			if r.code == 0 {
				accepted++
				g.Expect(r.out).To(ContainSubstring("ACCEPTED"))
				g.Expect(history).To(ContainElement(r.id))
				continue
			}
			g.Expect(r.code).To(Equal(1), r.errors)
			g.Expect(r.errors).To(ContainSubstring("Accepted since:\n  version "), "%s does not say what changed", r.id)
			g.Expect(history).NotTo(ContainElement(r.id))
		}
	}
	g.Expect(s.history()).To(HaveLen(base + accepted))
	g.Expect(accepted).To(BeNumerically(">=", rounds))
	g.Expect(accepted).To(BeNumerically("<", rounds*racers), "nobody lost a race")
	AddReportEntry("race "+name, fmt.Sprintf("%d of %d accepted", accepted, rounds*racers))
}

// loseAnswers makes changes whose write is not answered once, twice and three times.
func (s *System) loseAnswers(g Gomega) {
	for n := range 3 {
		id := fmt.Sprintf("lost-%d", n)
		s.Control("http://"+s.platform, fmt.Sprintf(`{"lose_answers":%d}`, n+1))
		change := []string{"organisation", "change", "clerks", fmt.Sprintf("weight=%d", 100+n)}
		r := s.change(id, change...)
		s.Control("http://"+s.platform, `{"lose_answers":0}`)
		AddReportEntry(id, fmt.Sprintf("exit code %d", r.code))
		if r.code == 3 { // unknown: the repeat must tell
			r = s.change(id, change...)
		}
		if r.code == 0 {
			g.Expect(s.history()).To(ContainElement(id))
		} else {
			g.Expect(s.history()).NotTo(ContainElement(id), r.errors)
		}
	}
}

func (s *System) timeChange(g Gomega) {
	s.Ctl("organisation", "change", "crews", "weight=200", "-reason", "timed")
	accepted := time.Now()
	g.Eventually(func(g Gomega) {
		st := s.status()
		g.Expect(st.InForce.At).To(Equal(15))
		g.Expect(st.InForce.NotHeard).To(BeEmpty())
	}, inForce, "100ms").Should(Succeed())
	AddReportEntry("in force after", time.Since(accepted).String())
}

// startFromPeer starts a gateway again that missed a change and reaches peers only.
func (s *System) startFromPeer(g Gomega) {
	last := s.procs["gateway-3"]
	before := s.status().Head
	last.Kill()
	s.Ctl("organisation", "change", "crews", "weight=300", "-reason", "while it is away")
	Eventually(func() int { return s.status().InForce.At }, inForce, "100ms").Should(BeNumerically(">=", 14))
	s.Forwarder.Cut()
	s.Control("http://"+s.platform, `{"away":true}`)
	started := time.Now()
	last.Restart()
	s.awaitOK(s.gateways[2] + "/readyz")
	AddReportEntry("ready after", time.Since(started).String())
	looks := 0
	for time.Since(started) < inForce/2 {
		var out ctlStatus
		raw, _ := s.ctlOnce([]string{"status", "-peers", s.peers[2], "-timeout", "200ms", "-o", "json"})
		if json.Unmarshal(raw, &out) != nil || len(out.Processes) == 0 || out.Processes[0].Error != "" {
			continue
		}
		looks++
		g.Expect(out.Processes[0].Version).To(Equal(before + 1))
	}
	g.Expect(looks).To(BeNumerically(">", 0))
	r := s.Call(request{method: "GET", url: s.gateways[2] + "/services/" + notices + "/health"})
	g.Expect(r.status).To(Equal(200), r.body)
}
