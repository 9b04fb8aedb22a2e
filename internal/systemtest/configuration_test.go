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

// ctlResult is the result of a pomeloctl command that writes a change.
type ctlResult struct {
	id, out, errors string
	code            int
}

func (s *System) change(id string, args ...string) ctlResult {
	GinkgoHelper()
	out, err := s.runCtl(append(args, "-reason", "race", "-change-id", id))
	r := ctlResult{id: id, out: string(out)}
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		r.code, r.errors = exit.ExitCode(), string(exit.Stderr)
	} else {
		Expect(err).NotTo(HaveOccurred())
	}
	return r
}

// historyLimit is a number of changes above that of any spec. Without -n, pomeloctl lists the newest 20 only.
const historyLimit = "1000"

// history returns the change IDs of all accepted changes in order; an ID occurs once for each row of its change.
func (s *System) history() []string {
	GinkgoHelper()
	var changes []struct {
		ID string `json:"id"`
	}
	Expect(json.Unmarshal([]byte(s.Ctl("history", "-n", historyLimit, "-o", "json")), &changes)).To(Succeed())
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
	concurrentOperators, rounds = 6, 5
	// These guard against two accepted changes of one version, a change in the history that was reported as refused,
	// and a refusal that does not list what was accepted since.
	raceSame      = "the history has exactly the accepted changes of operators who race with changes of one entity"
	raceDifferent = "the history has exactly the accepted changes of operators who race with changes of different entities"
	// Guards against reporting the wrong outcome because the answer to a write was lost.
	lostAnswerOutcome = "the reported outcome of a change is true when the answer of its write is lost"
	// Guards against processes that apply a change late.
	inForceInTime = "a change is in force in 12 sidecars and 3 gateways within 10 s"
	// Guards against a gateway that does not start without the table service, and against one that reports an older
	// version than the one it received from a peer.
	peerConfiguration = "a gateway that starts without the table service has the peers' copy and never an older one"
)

func raceOperators(v *specResults) {
	var backendServers []backendServer
	for i := range 12 {
		backendServers = append(backendServers, backendServer{name: fmt.Sprintf("notices-%d", i+1),
			dataCentre: engines[i%2].dataCentre, service: noticeService})
	}
	s := startSystem(layout{gateways: 3, backendServers: backendServers, useForwarder: true,
		limitsAndPlanner: "limits: {enabled: true}\nplanner: {enabled: true}"})
	s.race(v.gomegaFor(raceSame), "same", func(int) string { return "crews" })
	s.race(v.gomegaFor(raceDifferent), "different", func(i int) string { return []string{"crews", "clerks"}[i%2] })
	s.loseAnswers(v.gomegaFor(lostAnswerOutcome))
	s.awaitChangeInForce(v.gomegaFor(inForceInTime))
	s.startFromPeer(v.gomegaFor(peerConfiguration))
}

// race runs concurrent changes of the weight of organisations and compares their outcomes with the history.
func (s *System) race(g Gomega, name string, organisation func(i int) string) {
	base, accepted := len(s.history()), 0
	for round := range rounds {
		results := make([]ctlResult, concurrentOperators)
		var wg sync.WaitGroup
		for i := range concurrentOperators {
			wg.Go(func() {
				defer GinkgoRecover()
				weight := fmt.Sprintf("weight=%d", 2+round*concurrentOperators+i)
				results[i] = s.change(fmt.Sprintf("%s-%d-%d", name, round, i),
					"organisation", "change", organisation(i), weight)
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
	g.Expect(accepted).To(BeNumerically("<", rounds*concurrentOperators), "no change was refused")
	AddReportEntry("race "+name, fmt.Sprintf("%d of %d accepted", accepted, rounds*concurrentOperators))
}

// loseAnswers makes one change for each of one, two and three lost answers of the table service.
func (s *System) loseAnswers(g Gomega) {
	for n := range 3 {
		id := fmt.Sprintf("lost-%d", n)
		s.Control("http://"+s.platform, fmt.Sprintf(`{"lose_answers":%d}`, n+1))
		change := []string{"organisation", "change", "clerks", fmt.Sprintf("weight=%d", 100+n)}
		r := s.change(id, change...)
		s.Control("http://"+s.platform, `{"lose_answers":0}`)
		AddReportEntry(id, fmt.Sprintf("exit code %d", r.code))
		if r.code == 3 { // outcome unknown: a repeat with the same change ID must report it
			r = s.change(id, change...)
		}
		if r.code == 0 {
			g.Expect(s.history()).To(ContainElement(id))
		} else {
			g.Expect(s.history()).NotTo(ContainElement(id), r.errors)
		}
	}
}

func (s *System) awaitChangeInForce(g Gomega) {
	s.Ctl("organisation", "change", "crews", "weight=200", "-reason", "timed")
	accepted := time.Now()
	g.Eventually(func(g Gomega) {
		st := s.status()
		g.Expect(st.InForce.At).To(Equal(15))
		g.Expect(st.InForce.NotHeard).To(BeEmpty())
	}, inForceLimit, "100ms").Should(Succeed())
	AddReportEntry("in force after", time.Since(accepted).String())
}

// startFromPeer restarts a gateway that missed a change while only its peers are reachable.
func (s *System) startFromPeer(g Gomega) {
	last := s.procs["gateway-3"]
	before := s.status().Head
	last.Kill()
	s.Ctl("organisation", "change", "crews", "weight=300", "-reason", "while it is down")
	Eventually(func() int { return s.status().InForce.At }, inForceLimit, "100ms").Should(BeNumerically(">=", 14))
	s.Forwarder.Cut()
	s.Control("http://"+s.platform, `{"away":true}`)
	started := time.Now()
	last.Restart()
	s.awaitOK(s.gateways[2] + "/readyz")
	AddReportEntry("ready after", time.Since(started).String())
	polls := 0
	for time.Since(started) < inForceLimit/2 {
		var out ctlStatus
		raw, _ := s.runCtl([]string{"status", "-peers", s.peers[2], "-timeout", "200ms", "-o", "json"})
		if json.Unmarshal(raw, &out) != nil || len(out.Processes) == 0 || out.Processes[0].Error != "" {
			continue
		}
		polls++
		g.Expect(out.Processes[0].Version).To(Equal(before + 1))
	}
	g.Expect(polls).To(BeNumerically(">", 0))
	r := s.Call(request{method: "GET", url: s.gateways[2] + "/services/" + noticeService + "/health"})
	g.Expect(r.status).To(Equal(200), r.body)
}
