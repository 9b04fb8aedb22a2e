package configsync_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/configsync"
)

var _ = DescribeTable("decision",
	func(v configsync.View, want configsync.Decision) {
		v.FreshFor = 8 * time.Second
		Expect(configsync.Decide(v)).To(Equal(want))
	},
	Entry("fresh", configsync.View{HasConfig: true, Confirmed: true, Age: 8 * time.Second}, configsync.Use),
	Entry("stale, not asked", configsync.View{HasConfig: true, Confirmed: true, Age: 9 * time.Second}, configsync.Ask),
	Entry("never confirmed, not asked", configsync.View{HasConfig: true}, configsync.Ask),
	Entry("no configuration, not asked", configsync.View{Confirmed: true}, configsync.Ask),
	Entry("no configuration, asked", configsync.View{Confirmed: true, Asked: true, PeersHeard: 3, PeersAway: 3}, configsync.NotReady),
	Entry("stale, an earlier continue holds", configsync.View{HasConfig: true, AwayFor: true}, configsync.Continue),
	Entry("stale, a peer sees the outage",
		configsync.View{HasConfig: true, Asked: true, HasStore: true, PeersKnown: 3, PeersHeard: 1, PeersAway: 1}, configsync.Continue),
	Entry("stale, peers heard but none sees an outage",
		configsync.View{HasConfig: true, Asked: true, HasStore: true, PeersKnown: 3, PeersHeard: 2}, configsync.Refuse),
	Entry("stale, no peer reached", configsync.View{HasConfig: true, Asked: true, HasStore: true, PeersKnown: 3}, configsync.Refuse),
	Entry("stale, only process", configsync.View{HasConfig: true, Asked: true, HasStore: true}, configsync.Continue),
	Entry("stale, the table service answered too late", configsync.View{HasConfig: true, Asked: true, HasStore: true, StoreHeard: true}, configsync.Refuse),
	Entry("stale, the table service answered too late and a peer sees an outage",
		configsync.View{HasConfig: true, Asked: true, HasStore: true, StoreHeard: true, PeersKnown: 1, PeersAway: 1}, configsync.Refuse),
	Entry("stale sidecar without gateways", configsync.View{HasConfig: true, Asked: true}, configsync.Refuse),
)
