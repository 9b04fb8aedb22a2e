// Package vardoc compares the metrics of a binary with the page that documents them. Tests of the binaries use it.
package vardoc

import (
	"expvar"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Documented returns the names in the tables below a third-level heading of the page at path. It fails if the
// page or the heading is missing.
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

// Published returns the sorted names of vars and of the maps in them.
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
