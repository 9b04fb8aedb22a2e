package rowversion_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/rowversion"
)

func TestRowVersion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rowversion")
}

func join(era, number int64) int64 {
	GinkgoHelper()
	v, err := rowversion.Join(era, number)
	Expect(err).NotTo(HaveOccurred())
	return v
}

var _ = Describe("a version", func() {
	It("rises with the era whatever the number", func() {
		v := join(2, 7)
		Expect(v).To(BeNumerically(">", join(1, rowversion.MaxNumber)))
		Expect(rowversion.Era(v)).To(BeEquivalentTo(2))
		Expect(rowversion.Number(v)).To(BeEquivalentTo(7))
		Expect(join(0, 812345)).To(BeEquivalentTo(812345), "a store without eras counts as before")
	})

	It("is refused out of range", func() {
		for _, v := range [][2]int64{{-1, 1}, {1, -1}, {rowversion.MaxEra + 1, 1}, {1, rowversion.MaxNumber + 1}} {
			_, err := rowversion.Join(v[0], v[1])
			Expect(err).To(HaveOccurred(), "%v", v)
		}
		Expect(join(rowversion.MaxEra, rowversion.MaxNumber)).To(BeNumerically(">", 0))
	})
})

var _ = Describe("the order of two rows", func() {
	type entry = rowversion.Entry
	live := func(era, number int64, content ...int64) entry {
		return entry{Version: join(era, number), Content: content}
	}
	gone := func(era, number int64, content ...int64) entry {
		return entry{Version: join(era, number), Deleted: true, Content: content}
	}

	DescribeTable("Compare", func(held, next entry, expected rowversion.Order) {
		Expect(rowversion.Compare(held, next)).To(Equal(expected))
	},
		Entry("same era, greater number", live(1, 5, 9), live(1, 6, 1), rowversion.Newer),
		Entry("same era, same number", live(1, 5), live(1, 5), rowversion.NotNewer),
		Entry("same era, removed", live(1, 5), gone(1, 6), rowversion.Newer),
		Entry("written again with a lower number", live(1, 50, 5), live(2, 30, 5), rowversion.Newer),
		Entry("a later state with a lower number", live(1, 50, 5), live(2, 30, 8), rowversion.Newer),
		Entry("an earlier state from the copy", live(1, 50, 5), live(2, 30, 3), rowversion.NotNewer),
		Entry("removed in the new era", live(1, 50, 5), gone(2, 30), rowversion.Newer),
		Entry("the state that was removed, from the copy", gone(1, 50, 5), live(2, 30, 5), rowversion.Undecided),
		Entry("an earlier state of a removed row", gone(1, 50, 5), live(2, 30, 3), rowversion.NotNewer),
		Entry("a removed row that is there again", gone(1, 50, 5), live(2, 30, 6), rowversion.Newer),
		Entry("without content, lower number", live(1, 50), live(2, 30), rowversion.Undecided),
		Entry("without content, greater number", live(1, 50), live(2, 51), rowversion.Newer),
		Entry("removed, without content, lower number", gone(1, 50), live(2, 30, 5), rowversion.Undecided),
		Entry("a peer knows a state that the copy lacks", live(2, 30, 3), live(1, 50, 5), rowversion.Newer),
		Entry("a peer has what was written again", live(2, 30, 5), live(1, 50, 5), rowversion.NotNewer),
		Entry("a peer lacks the removal of the new era", gone(2, 30, 3), live(1, 50, 5), rowversion.NotNewer),
		Entry("a peer knows a removal that the copy lacks", live(2, 30, 3), gone(1, 50, 5), rowversion.Newer),
		Entry("a peer's removal of before the row was there again", live(2, 30, 6), gone(1, 50, 5), rowversion.NotNewer),
		Entry("two restores", live(1, 50, 5), live(3, 10, 5), rowversion.Newer),
		Entry("from a release without eras", live(2, 30, 5), live(0, 60, 5), rowversion.NotNewer),
	)

	// Guards against two gateways that keep different rows, each of which is the newer one for its holder.
	It("does not depend on which of two rows arrives first", func() {
		var all []entry
		for era := range int64(3) {
			for _, number := range []int64{10, 20} {
				for content := range int64(3) {
					all = append(all, live(era, number, content), gone(era, number, content))
				}
				all = append(all, live(era, number), gone(era, number))
			}
		}
		for _, a := range all {
			for _, b := range all {
				ab, ba := rowversion.Compare(a, b), rowversion.Compare(b, a)
				if a.Version != b.Version {
					Expect(ab == rowversion.NotNewer).NotTo(Equal(ba == rowversion.NotNewer), "%v %v: %v %v", a, b, ab, ba)
				}
			}
		}
	})
})
