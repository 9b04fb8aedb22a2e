package soak

import (
	"fmt"
	"io"
	"time"
)

// Write prints the outcome of a run, with its faults if they are asked for.
func (r *Result) Write(w io.Writer, withFaults bool) {
	verdict := "kept"
	if len(r.Failures) > 0 {
		verdict = "BROKEN"
	}
	fmt.Fprintf(w, "seed %d: %s; %d requests, %d answered, %d not run, %d faults\n", r.Seed, verdict, r.Requests, r.Answered,
		r.NotRun, len(r.Events))
	if withFaults {
		for _, e := range r.Events {
			fmt.Fprintf(w, "  %6.2f s for %5.2f s: %s %s\n", e.At.Seconds(), e.For.Round(time.Millisecond).Seconds(), e.Name, e.Err)
		}
	}
	const shown = 12
	for i, f := range r.Failures {
		if i == shown {
			fmt.Fprintf(w, "  and %d more\n", len(r.Failures)-shown)
			break
		}
		fmt.Fprintf(w, "  broken: %s\n", f)
	}
}
