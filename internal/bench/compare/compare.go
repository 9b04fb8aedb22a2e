// Package compare simulates a scenario under each policy of one decision and prints the resulting measures side by side.
// Use it to choose a policy.
package compare

import (
	"fmt"
	"io"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"github.com/pomelowheel/pomelowheel/internal/bench/report"
	"github.com/pomelowheel/pomelowheel/internal/bench/scenario"
	"github.com/pomelowheel/pomelowheel/internal/bench/sim"
)

// maxParallelRuns limits the number of concurrent simulation runs.
const maxParallelRuns = 4

// measure is one column of the table.
type measure struct {
	name   string
	format string
	value  func(r *report.Report) float64
}

func measures() []measure {
	return []measure{
		{"attainment/acc-s", "%.4f", func(r *report.Report) float64 { return r.Attainment }},
		{"worst org %", "%.2f", func(r *report.Report) float64 { return 100 * r.WorstFraction }},
		{"worst org/acc-s", "%.4f", func(r *report.Report) float64 { return r.WorstAttainment }},
		{"refused within rate", "%.1f", func(r *report.Report) float64 { return float64(r.RefusedWithinRate) }},
		{"served above rate", "%.1f", func(r *report.Report) float64 { return float64(r.ServedAboveRate) }},
		{"late", "%.1f", func(r *report.Report) float64 { return float64(r.Late) }},
		{"lost", "%.1f", lost},
		{"missed around changes", "%.1f", func(r *report.Report) float64 { return float64(r.MissedAroundChanges()) }},
		{"first token p95 ms", "%.0f", func(r *report.Report) float64 { return firstToken(r, "interactive").P95 }},
		{"first token p99 ms", "%.0f", func(r *report.Report) float64 { return firstToken(r, "interactive").P99 }},
		{"retries", "%.1f", func(r *report.Report) float64 { return float64(r.Counts.Retries) }},
		{"loads", "%.1f", func(r *report.Report) float64 { return float64(r.Counts.Loads) }},
		{"evictions", "%.1f", func(r *report.Report) float64 { return float64(r.Counts.Evictions) }},
	}
}

// lost returns the number of requests that failed after a part of the answer or with an unknown outcome.
func lost(r *report.Report) float64 {
	n := 0
	for _, count := range r.FailuresByCause {
		n += count
	}
	return float64(n)
}

func firstToken(r *report.Report, class string) report.Quantiles {
	for _, c := range r.Classes {
		if c.Name == class {
			return c.FirstToken
		}
	}
	return report.Quantiles{}
}

// Table writes a table with one line for each policy of the decision. Each column is the mean of a measure over the
// seeds first to last, both included. It returns an error for an unknown decision or if writing fails.
func Table(w io.Writer, s *scenario.Scenario, decision string, first, last uint64) error {
	policies, ok := scenario.PolicyValues()[decision]
	if !ok {
		return fmt.Errorf("unknown decision %q", decision)
	}
	n := int(last-first) + 1
	reports := make([][]*report.Report, len(policies))
	var group errgroup.Group
	group.SetLimit(maxParallelRuns)
	for i, policy := range policies {
		reports[i] = make([]*report.Report, n)
		for j := range n {
			group.Go(func() error {
				varied := *s
				if err := varied.SetPolicy(decision, policy); err != nil {
					return err
				}
				reports[i][j] = sim.Run(&varied, first+uint64(j))
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s", decision)
	for _, m := range measures() {
		fmt.Fprintf(table, "\t%s", m.name)
	}
	for i, policy := range policies {
		fmt.Fprintf(table, "\n%s", policy)
		for _, m := range measures() {
			sum := 0.0
			for _, r := range reports[i] {
				sum += m.value(r)
			}
			fmt.Fprintf(table, "\t"+m.format, sum/float64(n))
		}
	}
	fmt.Fprintf(table, "\n")
	return table.Flush()
}
