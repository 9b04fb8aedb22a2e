package gateway_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
)

// Guards against wrong attainment figures: a failure that is counted as met or not at all, and a refusal above the rate
// that is counted in the share.
var _ = Describe("attainment", func() {
	const ms = time.Millisecond
	profile := config.Profile{Class: config.ClassInteractive, FirstTokenMS: 400, BetweenTokensMS: 70, DeadlineMS: 2000}
	withinTargets := gateway.Timing{FirstToken: 400 * ms, LastToken: 1100 * ms, Total: 2000 * ms, Tokens: 11}
	errorOf := func(k errkind.Kind) error { return errkind.New(k, "test") }

	DescribeTable("counts a request once", func(t gateway.Timing, ran errkind.Ran, err error, want gateway.Outcomes) {
		a := gateway.NewAttainment()
		a.Record("crews", profile, t, ran, err)
		Expect(a.Report().Organisations["crews"][config.ClassInteractive]).To(Equal(want))
	},
		Entry("at every target", withinTargets, errkind.RanYes, nil, gateway.Outcomes{Met: 1}),
		Entry("late first token", gateway.Timing{FirstToken: 401 * ms, LastToken: 500 * ms, Total: 500 * ms, Tokens: 2},
			errkind.RanYes, nil, gateway.Outcomes{FirstToken: 1}),
		Entry("slow tokens", gateway.Timing{FirstToken: 100 * ms, LastToken: 801 * ms, Total: 900 * ms, Tokens: 11},
			errkind.RanYes, nil, gateway.Outcomes{BetweenTokens: 1}),
		Entry("late end", gateway.Timing{FirstToken: 100 * ms, LastToken: 200 * ms, Total: 2001 * ms, Tokens: 11}, errkind.RanYes, nil,
			gateway.Outcomes{Deadline: 1}),
		Entry("deadline passed", withinTargets, errkind.RanUnknown, errorOf(errkind.DeadlineExceeded), gateway.Outcomes{Deadline: 1}),
		Entry("stream broken off", withinTargets, errkind.RanYes, errorOf(errkind.OutcomeUnknown), gateway.Outcomes{Failed: 1}),
		Entry("refused", gateway.Timing{}, errkind.RanNo, errorOf(errkind.Overloaded), gateway.Outcomes{Refused: 1}),
		Entry("refused because the queue is longer than the deadline", gateway.Timing{}, errkind.RanNo,
			errorOf(errkind.DeadlineUnreachable), gateway.Outcomes{Refused: 1}),
		Entry("refused after an attempt that may have run", gateway.Timing{}, errkind.RanUnknown, errorOf(errkind.Overloaded),
			gateway.Outcomes{Failed: 1}),
		Entry("above the rate", gateway.Timing{}, errkind.RanNo, errorOf(errkind.RateLimited), gateway.Outcomes{RateLimited: 1}),
		Entry("caller's fault", gateway.Timing{}, errkind.RanNo, errorOf(errkind.RequestTooLarge), gateway.Outcomes{}),
		Entry("caller disconnected", withinTargets, errkind.RanYes, errorOf(errkind.CallerCancelled), gateway.Outcomes{}),
	)

	It("reports the organisation with the lowest share over its classes", func() {
		a := gateway.NewAttainment()
		Expect(a.Report().Share).To(BeNil())
		batch := config.Profile{Class: config.ClassBatch}
		for range 3 {
			a.Record("crews", profile, withinTargets, errkind.RanYes, nil)
		}
		a.Record("crews", batch, gateway.Timing{}, errkind.RanNo, errorOf(errkind.Overloaded))
		a.Record("clerks", profile, withinTargets, errkind.RanYes, nil)
		a.Record("idle", profile, gateway.Timing{}, errkind.RanNo, errorOf(errkind.RateLimited))
		report := a.Report()
		Expect(report.Worst).To(Equal("crews"))
		Expect(*report.WorstShare).To(Equal(0.75))
		Expect(*report.Share).To(Equal(0.8))
	})

	It("limits the number of organisations that are counted by name", func() {
		a := gateway.NewAttainment()
		for i := range 3000 {
			a.Record(fmt.Sprint("o", i), profile, withinTargets, errkind.RanYes, nil)
		}
		Expect(len(a.Report().Organisations)).To(BeNumerically("<=", 1025))
		Expect(*a.Report().Share).To(Equal(1.0))
	})
})
