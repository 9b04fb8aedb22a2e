package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gorilla/mux"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/pomelowheel/pomelowheel/internal/fleetguard"
	"github.com/pomelowheel/pomelowheel/internal/operator"
	"github.com/pomelowheel/pomelowheel/internal/serversigns"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// Guards against a refusal that is lost or changed on the way to another gateway, or that an operator cannot see and end.
func TestRefusedPromptsReachPeersAndOperators(t *testing.T) {
	g := NewWithT(t)
	settings := fuzzSettings(t)
	first, second := newFuzzGateway(t, settings), newFuzzGateway(t, settings)
	first.server.Prompts().Receive(func(now time.Duration) fleetguard.Report {
		var r fleetguard.Report
		for i := range 4 {
			r.Ends = append(r.Ends, fleetguard.EndReport{
				Server: serversigns.Server{ID: fmt.Sprint("i-", i), Born: 1}, At: now - time.Minute + time.Duration(i)*time.Second,
				Exposures: []fleetguard.Exposure{{RequestID: fmt.Sprint("r-", i), Model: fmt.Sprint("m", i), Parts: []string{"aa", "f00d"}, Session: fmt.Sprint(i)}},
			})
		}
		r.Sound = []fleetguard.SoundReport{{Feature: fleetguard.Feature{Part: "aa"}, At: now - time.Second}}
		return r
	})
	send := func(from, to *gateway) {
		report, _ := from.Guard(0, true)
		data, err := proto.Marshal(&wirepb.PeerUpdate{Guard: report})
		g.Expect(err).NotTo(HaveOccurred())
		received := new(wirepb.PeerUpdate)
		g.Expect(proto.Unmarshal(data, received)).To(Succeed())
		to.Update("peer", received, nil, nil)
		to.server.Prompts().Tick()
	}
	send(first, second)
	for _, one := range []*gateway{first, second} {
		g.Expect(one.refusedPrompts()).To(HaveLen(1))
		refused := one.refusedPrompts()[0]
		g.Expect(refused.Parts).To(Equal([]refusedPart{{Part: "f00d"}}))
		g.Expect(refused.ServersEnded).To(Equal(4))
		g.Expect(refused.Servers).To(ContainElements("i-0", "i-3"))
		g.Expect(refused.Requests).To(ContainElements("r-0", "r-3"))
	}

	router := mux.NewRouter()
	second.addRefusedPrompts(router)
	control := httptest.NewServer(router)
	defer control.Close()
	pomeloctl := func(args ...string) (string, int) {
		var out bytes.Buffer
		code := operator.Run(context.Background(), append(args, "-gateway", control.Listener.Addr().String()),
			operator.Env{Stdout: &out, Stderr: &out, Now: time.Now})
		return out.String(), code
	}
	out, code := pomeloctl("prompt", "refused")
	g.Expect(code).To(Equal(operator.ExitAccepted), out)
	g.Expect(out).To(And(ContainSubstring("f00d"), ContainSubstring("r-0"), ContainSubstring("4 servers ended")))
	out, code = pomeloctl("prompt", "clear", "aa")
	g.Expect(code).To(Equal(operator.ExitNotAccepted), out)
	out, code = pomeloctl("prompt", "clear", "f00d")
	g.Expect(code).To(Equal(operator.ExitAccepted), out)
	send(second, first)
	g.Expect(first.refusedPrompts()).To(BeEmpty())
	out, _ = pomeloctl("prompt", "refused")
	g.Expect(out).To(ContainSubstring("no prompts are refused"))
}
