// Package capacity measures how memory, network traffic and processor time grow with the size of the system. Use it to
// estimate the needs of a deployment: each slope is measured at several sizes over loopback, mostly within one process,
// and docs/CAPACITY.md extrapolates from the results.
package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// Table is the result of measuring one slope: one row for each size, one text for each column.
type Table struct {
	Slope   string     `json:"slope"`
	Note    string     `json:"note"`
	Columns []string   `json:"columns"` // names with units
	Rows    [][]string `json:"rows"`
}

// add appends a row. Floats are written with three significant digits or as whole numbers.
func (t *Table) add(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		f, ok := v.(float64)
		switch {
		case ok && (f >= 1000 || f <= -1000):
			row[i] = fmt.Sprintf("%.0f", f)
		case ok:
			row[i] = fmt.Sprintf("%.3g", f)
		default:
			row[i] = fmt.Sprint(v)
		}
	}
	t.Rows = append(t.Rows, row)
}

// Markdown writes the table with a heading and the note. It returns the error of writing.
func (t *Table) Markdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s\n\n%s\n\n", t.Slope, t.Note)
	fmt.Fprintf(&b, "| %s |\n|%s\n", strings.Join(t.Columns, " | "), strings.Repeat("---|", len(t.Columns)))
	for _, row := range t.Rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}

// JSON writes the table as one line of JSON. It returns the error of encoding or writing.
func (t *Table) JSON(w io.Writer) error { return json.NewEncoder(w).Encode(t) }

// Slope is a measurement of how the use of a resource grows with one size of the system.
type Slope struct {
	Name    string
	Timeout time.Duration // maximum time of one measurement
	Measure func(ctx context.Context) (*Table, error)
}

// Slopes returns every slope in the order in which -all runs them.
func Slopes() []Slope {
	return []Slope{
		{"sessions", time.Minute, measureSessions},
		{"status-memory", time.Minute, measureStatusMemory},
		{"status-traffic", 2 * time.Minute, measureStatusTraffic},
		{"start", time.Minute, measureStart},
		{"configuration", time.Minute, measureConfiguration},
		{"exchanges", time.Minute, measureExchanges},
		{"host-list", time.Minute, measureHostList},
		{"spread", 2 * time.Minute, measureSpread},
		{"requests", 2 * time.Minute, measureRequests},
		{"planner", time.Minute, measurePlanner},
		{"limits", time.Minute, measureLimits},
	}
}
