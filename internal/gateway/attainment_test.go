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

// Guards against figures that flatter the system: a failure that counts as met or is left out, and a refusal above
// the rate that counts against it.
var _ = Describe("attainment", func() {
	const ms = time.Millisecond
	profile := config.Profile{Class: config.ClassInteractive, FirstTokenMS: 400, BetweenTokensMS: 70, DeadlineMS: 2000}
	good := gateway.Timing{FirstToken: 400 * ms, LastToken: 1100 * ms, Total: 2000 * ms, Tokens: 11}
	of := func(k errkind.Kind) error { return errkind.New(k, "test") }

	DescribeTable("counts a request once", func(t gateway.Timing, ran errkind.Ran, err error, want gateway.Served) {
		a := gateway.NewAttainment()
		a.Note("crews", profile, t, ran, err)
		Expect(a.Report().Organisations["crews"][config.ClassInteractive]).To(Equal(want))
	},
		Entry("at every target", good, errkind.RanYes, nil, gateway.Served{Met: 1}),
		Entry("late first token", gateway.Timing{FirstToken: 401 * ms, LastToken: 500 * ms, Total: 500 * ms, Tokens: 2}, errkind.RanYes, nil,
			gateway.Served{FirstToken: 1}),
		Entry("slow tokens", gateway.Timing{FirstToken: 100 * ms, LastToken: 801 * ms, Total: 900 * ms, Tokens: 11}, errkind.RanYes, nil,
			gateway.Served{BetweenTokens: 1}),
		Entry("late end", gateway.Timing{FirstToken: 100 * ms, LastToken: 200 * ms, Total: 2001 * ms, Tokens: 11}, errkind.RanYes, nil,
			gateway.Served{Deadline: 1}),
		Entry("deadline passed", good, errkind.RanUnknown, of(errkind.DeadlineExceeded), gateway.Served{Deadline: 1}),
		Entry("broken stream", good, errkind.RanYes, of(errkind.OutcomeUnknown), gateway.Served{Failed: 1}),
		Entry("refused", gateway.Timing{}, errkind.RanNo, of(errkind.Overloaded), gateway.Served{Refused: 1}),
		Entry("refused because the queue is longer than the deadline", gateway.Timing{}, errkind.RanNo, of(errkind.DeadlineUnreachable),
			gateway.Served{Refused: 1}),
		Entry("refused after an attempt that may have run", gateway.Timing{}, errkind.RanUnknown, of(errkind.Overloaded),
			gateway.Served{Failed: 1}),
		Entry("above the rate", gateway.Timing{}, errkind.RanNo, of(errkind.RateLimited), gateway.Served{RateLimited: 1}),
		Entry("caller's fault", gateway.Timing{}, errkind.RanNo, of(errkind.RequestTooLarge), gateway.Served{}),
		Entry("caller went away", good, errkind.RanYes, of(errkind.CallerCancelled), gateway.Served{}),
	)

	It("names the worst-served organisation over its classes", func() {
		a := gateway.NewAttainment()
		Expect(a.Report().Share).To(BeNil())
		batch := config.Profile{Class: config.ClassBatch}
		for range 3 {
			a.Note("crews", profile, good, errkind.RanYes, nil)
		}
		a.Note("crews", batch, gateway.Timing{}, errkind.RanNo, of(errkind.Overloaded))
		a.Note("clerks", profile, good, errkind.RanYes, nil)
		a.Note("idle", profile, gateway.Timing{}, errkind.RanNo, of(errkind.RateLimited))
		report := a.Report()
		Expect(report.Worst).To(Equal("crews"))
		Expect(*report.WorstShare).To(Equal(0.75))
		Expect(*report.Share).To(Equal(0.8))
	})

	It("bounds the names", func() {
		a := gateway.NewAttainment()
		for i := range 3000 {
			a.Note(fmt.Sprint("o", i), profile, good, errkind.RanYes, nil)
		}
		Expect(len(a.Report().Organisations)).To(BeNumerically("<=", 1025))
		Expect(*a.Report().Share).To(Equal(1.0))
	})
})
