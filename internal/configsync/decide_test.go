package configsync_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/configsync"
)

var _ = DescribeTable("decision",
	func(v configsync.DecisionInput, want configsync.Decision) {
		v.FreshFor = 8 * time.Second
		Expect(configsync.Decide(v)).To(Equal(want))
	},
	Entry("fresh", configsync.DecisionInput{HasConfig: true, Confirmed: true, Age: 8 * time.Second}, configsync.Use),
	Entry("stale, not asked", configsync.DecisionInput{HasConfig: true, Confirmed: true, Age: 9 * time.Second}, configsync.Ask),
	Entry("never confirmed, not asked", configsync.DecisionInput{HasConfig: true}, configsync.Ask),
	Entry("no configuration, not asked", configsync.DecisionInput{Confirmed: true}, configsync.Ask),
	Entry("no configuration, asked",
		configsync.DecisionInput{Confirmed: true, Asked: true, PeersAnswered: 3, PeersReportingOutage: 3}, configsync.NotReady),
	Entry("stale, an earlier continue is still valid",
		configsync.DecisionInput{HasConfig: true, ContinueValid: true}, configsync.Continue),
	Entry("stale, a peer reports the outage",
		configsync.DecisionInput{
			HasConfig: true, Asked: true, HasStore: true, PeersKnown: 3, PeersAnswered: 1, PeersReportingOutage: 1,
		},
		configsync.Continue),
	Entry("stale, peers answered but none reports an outage",
		configsync.DecisionInput{HasConfig: true, Asked: true, HasStore: true, PeersKnown: 3, PeersAnswered: 2},
		configsync.Refuse),
	Entry("stale, no peer reached",
		configsync.DecisionInput{HasConfig: true, Asked: true, HasStore: true, PeersKnown: 3}, configsync.Refuse),
	Entry("stale, only process", configsync.DecisionInput{HasConfig: true, Asked: true, HasStore: true}, configsync.Continue),
	Entry("stale, the table service answered too late",
		configsync.DecisionInput{HasConfig: true, Asked: true, HasStore: true, StoreAnswered: true}, configsync.Refuse),
	Entry("stale, the table service answered too late and a peer reports an outage",
		configsync.DecisionInput{
			HasConfig: true, Asked: true, HasStore: true, StoreAnswered: true, PeersKnown: 1, PeersReportingOutage: 1,
		},
		configsync.Refuse),
	Entry("stale sidecar without gateways", configsync.DecisionInput{HasConfig: true, Asked: true}, configsync.Refuse),
)
