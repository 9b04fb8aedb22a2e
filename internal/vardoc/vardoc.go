// Package vardoc returns the names of the metrics that a binary publishes and of those that a documentation page lists. Tests
// of the binaries use it to check that the two agree.
package vardoc

import (
	"expvar"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Documented returns the metric names in the Markdown tables below the third-level heading of the page at path, in the order
// of the page: the first cell of each row that starts with a name in backquotes. A page that cannot be read or has no such
// heading is an error.
func Documented(path, heading string) ([]string, error) {
	page, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read documented metrics: %w", err)
	}
	_, section, found := strings.Cut(string(page), "### "+heading+"\n")
	if !found {
		return nil, fmt.Errorf("read documented metrics: %s has no heading %q", path, heading)
	}
	section, _, _ = strings.Cut(section, "\n##")
	var names []string
	for line := range strings.Lines(section) {
		if row, ok := strings.CutPrefix(line, "| `"); ok {
			name, _, _ := strings.Cut(row, "`")
			names = append(names, name)
		}
	}
	return names, nil
}

// Published returns the sorted names of the metrics in vars. A map is not listed itself; each of its entries is listed as
// "map.key".
func Published(vars map[string]expvar.Var) []string {
	var names []string
	for name, v := range vars {
		m, isMap := v.(*expvar.Map)
		if !isMap {
			names = append(names, name)
			continue
		}
		m.Do(func(kv expvar.KeyValue) { names = append(names, name+"."+kv.Key) })
	}
	slices.Sort(names)
	return names
}
