package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Write prints the outcome of a run, followed by its injected faults if withFaults is set. It ignores write errors.
func (r *Result) Write(w io.Writer, withFaults bool) {
	verdict := "kept"
	if len(r.Failures) > 0 {
		verdict = "BROKEN"
	}
	fmt.Fprintf(w, "seed %d: %s; %d requests, %d succeeded, %d not run, %d answered otherwise, %d unread, %d late, %d lost, %d faults\n",
		r.Seed, verdict, r.Requests, r.Succeeded, r.NotRun, r.OtherAnswers, len(r.Unread), len(r.Late), len(r.Losses), len(r.InjectedFaults))
	if r.crashes != "" {
		fmt.Fprintf(w, "  %s\n", r.crashes)
	}
	fmt.Fprintf(w, "  %s\n", r.retries)
	if withFaults {
		for _, e := range r.InjectedFaults {
			fmt.Fprintf(w, "  %6.2f s for %5.2f s: %s %s\n", e.Start.Seconds(),
				e.Duration.Round(time.Millisecond).Seconds(), e.Name, strings.ReplaceAll(e.Err, "\n", "; "))
		}
		for _, l := range append(slices.Clone(r.Unread), r.Late...) {
			fmt.Fprintf(w, "  excused: %s\n", l)
		}
	}
	for _, line := range r.lossCounts() {
		fmt.Fprintf(w, "  lost: %s\n", line)
	}
	for _, l := range r.Losses {
		for _, line := range l.log {
			fmt.Fprintf(w, "  log: %s\n", line)
		}
	}
	const shown = 12
	for i, f := range r.Failures {
		if i == shown {
			fmt.Fprintf(w, "  and %d more\n", len(r.Failures)-shown)
			break
		}
		fmt.Fprintf(w, "  violated: %s\n", f)
	}
}
