package main

import (
	"expvar"
	"os"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/internal/settings"
)

// documented returns the names in the tables below a heading of docs/operations.md.
func documented(g Gomega, heading string) []string {
	page, err := os.ReadFile("../../docs/operations.md")
	g.Expect(err).NotTo(HaveOccurred())
	_, section, found := strings.Cut(string(page), "### "+heading+"\n")
	g.Expect(found).To(BeTrue())
	section, _, _ = strings.Cut(section, "\n##")
	var names []string
	for line := range strings.Lines(section) {
		if row, ok := strings.CutPrefix(line, "| `"); ok {
			name, _, _ := strings.Cut(row, "`")
			names = append(names, name)
		}
	}
	return names
}

// published returns the names of vars and of the maps in them.
func published(vars map[string]expvar.Var) []string {
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

// Guards against a metric that operators cannot look up and one that the page promises in vain.
func TestDocumentedVars(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.LoadGateway("../../internal/settings/testdata/gateway.yml")
	g.Expect(err).NotTo(HaveOccurred())
	s.Callers.Listen, s.Peers.Listen = "127.0.0.1:0", "127.0.0.1:0"
	p := &parts{settings: s, log: process.NewLogger(s.Log)}
	g.Expect(p.build()).To(Succeed())
	t.Cleanup(func() {
		p.pool.Close()
		_ = p.edge.Close()
		_ = p.peers.Close()
	})
	g.Expect(published(p.vars())).To(ConsistOf(documented(g, "Gateway")))
}
