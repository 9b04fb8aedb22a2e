package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomelowheel/pomelowheel/internal/bench/scenario"
)

// Report holds the results of one run.
type Report struct {
	Scenario     string            `json:"scenario"`
	Seed         uint64            `json:"seed"`
	Policies     scenario.Policies `json:"policies"`
	Seconds      float64           `json:"seconds"`
	Accelerators int               `json:"accelerators"`

	// Attainment is the number of model requests that met their targets, for each accelerator-second.
	Attainment float64 `json:"attainment_per_accelerator_second"`
	// WorstOrganisation is the organisation with the smallest fraction of model requests within its rate that met
	// their targets. WorstFraction is that fraction, and WorstAttainment its model requests that met their targets,
	// for each accelerator-second.
	WorstOrganisation string  `json:"worst_organisation"`
	WorstFraction     float64 `json:"worst_part"`
	WorstAttainment   float64 `json:"worst_attainment_per_accelerator_second"`

	Offered          int `json:"offered"`
	WithinRate       int `json:"within_rate"`
	Served           int `json:"served"`
	Met              int `json:"met"`
	Late             int `json:"late"`
	RefusedAboveRate int `json:"refused_above_rate"`
	// ServedAboveRate counts requests that were served although the exact bucket refused them. The share that
	// grants one of them has fewer tokens for a later request, which then counts as refused within the rate.
	ServedAboveRate int `json:"served_above_rate"`
	// RefusedWithinRate counts requests that did not run although the organisation's exact bucket, which is charged
	// for everything it grants, granted them.
	RefusedWithinRate        int            `json:"refused_within_rate"`
	RefusedWithinRateByCause map[string]int `json:"refused_within_rate_by_cause"`
	FailuresByCause          map[string]int `json:"failures_by_cause"` // after a part of the answer, or with an unknown outcome
	Bookings                 Bookings       `json:"bookings"`

	Organisations []Organisation `json:"organisations"`
	Classes       []Class        `json:"classes"`
	Counts        Counts         `json:"counts"`
	Events        []Event        `json:"events"`
	Series        []Second       `json:"series"` // by second of arrival
}

// Bookings counts calls with an idempotency key.
type Bookings struct {
	Offered int `json:"offered"`
	Done    int `json:"done"`
}

// Organisation holds the counts of one organisation. Met, ModelWithinRate and MetWithinRate count model requests
// only.
type Organisation struct {
	Name              string `json:"name"`
	Offered           int    `json:"offered"`
	WithinRate        int    `json:"within_rate"`
	ModelWithinRate   int    `json:"model_within_rate"`
	Met               int    `json:"met"`
	MetWithinRate     int    `json:"met_within_rate"`
	RefusedWithinRate int    `json:"refused_within_rate"`
}

// metFraction returns the fraction of the model requests within the rate that met their targets.
func (o Organisation) metFraction() float64 {
	return float64(o.MetWithinRate) / float64(max(o.ModelWithinRate, 1))
}

// Class holds the latencies of the model requests of one class, in milliseconds.
type Class struct {
	Name          string    `json:"name"`
	Requests      int64     `json:"requests"`
	FirstToken    Quantiles `json:"first_token_ms"`
	BetweenTokens Quantiles `json:"between_tokens_ms"`
}

// Quantiles holds quantiles and the maximum of a histogram, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{ms(50), ms(95), ms(99), float64(h.Max()) / 1000}
}

// Counts holds the number of operations in the system. Text prints its fields under their Go names.
type Counts struct {
	Loads            int `json:"loads"`
	Evictions        int `json:"evictions"`
	AdapterLoads     int `json:"adapter_loads"`
	AdapterEvictions int `json:"adapter_evictions"`
	Retries          int `json:"retries"`
	PrefixHits       int `json:"prefix_hits"`
	FellOver         int `json:"servers_fell_over"`
}

// Event is an event of the scenario and its time in the run.
type Event struct {
	At   float64 `json:"at_seconds"`
	Text string  `json:"text"`
}

// Second holds the counts of the requests that arrived in one second.
type Second struct {
	Offered           int `json:"offered"`
	Met               int `json:"met"`
	Late              int `json:"late"`
	RefusedWithinRate int `json:"refused_within_rate"`
	Lost              int `json:"lost"`
}

// Report returns the report of the outcomes recorded so far.
func (r *Recorder) Report() *Report {
	out := r.report
	accelerators := out.Seconds * float64(max(out.Accelerators, 1))
	out.Attainment = float64(out.Met) / accelerators
	for _, name := range slices.Sorted(maps.Keys(r.orgs)) {
		out.Organisations = append(out.Organisations, *r.orgs[name])
	}
	if len(out.Organisations) > 0 {
		worst := slices.MinFunc(out.Organisations, func(a, b Organisation) int {
			return cmp.Compare(a.metFraction(), b.metFraction())
		})
		out.WorstOrganisation, out.WorstFraction = worst.Name, worst.metFraction()
		out.WorstAttainment = float64(worst.Met) / accelerators
	}
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		h := r.classes[name]
		out.Classes = append(out.Classes, Class{name, h.first.TotalCount(), quantiles(h.first), quantiles(h.between)})
	}
	out.Counts = Counts{r.Loads, r.Evictions, r.AdapterLoads, r.AdapterEvictions, r.Retries, r.PrefixHits, r.FellOver}
	return &out
}

// JSON writes the report as indented JSON. It returns an error if writing fails.
func (r *Report) JSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// Text writes the report as readable text. It returns an error if writing fails.
func (r *Report) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "scenario %s, seed %d, %.0f s, %d accelerators, %+v\n",
		r.Scenario, r.Seed, r.Seconds, r.Accelerators, r.Policies)
	fmt.Fprintf(&b, "attainment per accelerator-second  %.4f\n", r.Attainment)
	fmt.Fprintf(&b, "worst-served organisation          %s: %.2f%% of its requests within its rate met their targets, %.4f per accelerator-second\n",
		r.WorstOrganisation, 100*r.WorstFraction, r.WorstAttainment)
	fmt.Fprintf(&b, "offered %d, within rate %d, served %d, met %d, late %d, refused above rate %d, served above rate %d\n",
		r.Offered, r.WithinRate, r.Served, r.Met, r.Late, r.RefusedAboveRate, r.ServedAboveRate)
	fmt.Fprintf(&b, "refused within rate                %d %v\n", r.RefusedWithinRate, r.RefusedWithinRateByCause)
	fmt.Fprintf(&b, "failures                           %v\n", r.FailuresByCause)
	fmt.Fprintf(&b, "bookings                           %d of %d done\n", r.Bookings.Done, r.Bookings.Offered)
	for _, o := range r.Organisations {
		fmt.Fprintf(&b, "  %-16s offered %6d, within rate %6d, met %6d, part %6.2f%%, refused within rate %d\n",
			o.Name, o.Offered, o.WithinRate, o.Met, 100*o.metFraction(), o.RefusedWithinRate)
	}
	for _, c := range r.Classes {
		fmt.Fprintf(&b, "  %-12s first token ms p50 %.0f p95 %.0f p99 %.0f max %.0f; between tokens ms p50 %.1f p95 %.1f p99 %.1f max %.1f (%d requests)\n",
			c.Name, c.FirstToken.P50, c.FirstToken.P95, c.FirstToken.P99, c.FirstToken.Max,
			c.BetweenTokens.P50, c.BetweenTokens.P95, c.BetweenTokens.P99, c.BetweenTokens.Max, c.Requests)
	}
	fmt.Fprintf(&b, "counts %+v\n", r.Counts)
	r.writeEvents(&b)
	_, err := io.WriteString(w, b.String())
	return err
}

// secondsAfterEvent is the number of seconds shown from an event on. Two seconds before it are shown as well.
const secondsAfterEvent = 8

// writeEvents writes the events, and the counts by second around each event that concerns a data centre.
func (r *Report) writeEvents(b *strings.Builder) {
	for _, e := range r.Events {
		fmt.Fprintf(b, "event at %.0f s: %s\n", e.At, e.Text)
		if !strings.Contains(e.Text, "data_centre") {
			continue
		}
		from, to := max(int(e.At)-2, 0), min(int(e.At)+secondsAfterEvent, len(r.Series))
		for i := from; i < to; i++ {
			s := r.Series[i]
			fmt.Fprintf(b, "  %4d s: offered %3d, met %3d, late %3d, refused within rate %3d, lost %3d\n",
				i, s.Offered, s.Met, s.Late, s.RefusedWithinRate, s.Lost)
		}
	}
}

// secondsAfterChange is the number of seconds from a data centre event on that MissedAroundChanges covers.
const secondsAfterChange = 15

// MissedAroundChanges returns the number of requests that arrived within 15 s after a data centre event and were
// late, refused within the rate, or lost.
func (r *Report) MissedAroundChanges() int {
	counted := make(map[int]bool)
	missed := 0
	for _, e := range r.Events {
		if !strings.Contains(e.Text, "data_centre") {
			continue
		}
		for i := int(e.At); i < min(int(e.At)+secondsAfterChange, len(r.Series)); i++ {
			if !counted[i] {
				missed += r.Series[i].Late + r.Series[i].RefusedWithinRate + r.Series[i].Lost
			}
			counted[i] = true
		}
	}
	return missed
}
