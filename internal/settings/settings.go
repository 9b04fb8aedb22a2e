// Package settings loads the YAML settings of each binary. Decoding is strict: an unknown key, a value
// without its unit, a missing address or a duplicate name is reported with file, line and column.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Problem is one value that does not meet the rules. Path is a YAML path such as "$.peers.listen".
type Problem struct {
	Path     string
	Expected string
}

// checked is implemented by the settings of each binary.
type checked interface {
	problems() []Problem
}

// LoadGateway reads the settings of a gateway. The error lists every problem, one a line.
func LoadGateway(path string) (*Gateway, error) {
	s := defaultGateway()
	return s, load(path, s)
}

// LoadSidecar reads the settings of a sidecar. The error lists every problem, one a line.
func LoadSidecar(path string) (*Sidecar, error) {
	s := defaultSidecar()
	return s, load(path, s)
}

func load(path string, into checked) error {
	source, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if err := yaml.UnmarshalWithOptions(source, into, yaml.Strict(), yaml.DisallowUnknownField()); err != nil {
		return decodeError(path, err)
	}
	problems := into.problems()
	if len(problems) == 0 {
		return nil
	}
	file, err := parser.ParseBytes(source, 0)
	if err != nil {
		return decodeError(path, err)
	}
	var found []error
	for _, p := range problems {
		line, column := position(file, p.Path)
		found = append(found, fmt.Errorf("%s:%d:%d: %s: expected %s", path, line, column, strings.TrimPrefix(p.Path, "$."), p.Expected))
	}
	return errors.Join(found...)
}

func decodeError(path string, err error) error {
	var detail yaml.Error
	if errors.As(err, &detail) && detail.GetToken() != nil {
		p := detail.GetToken().Position
		return fmt.Errorf("%s:%d:%d: %s", path, p.Line, p.Column, detail.GetMessage())
	}
	return fmt.Errorf("%s:1:1: %w", path, err)
}

// position returns where the value at path stands, or where its nearest existing ancestor stands. A
// value of a mapping is placed at its key.
func position(file *ast.File, path string) (line, column int) {
	places := make(placeFinder)
	for _, doc := range file.Docs {
		ast.Walk(places, doc.Body)
	}
	for path != "" {
		if p, ok := places[path]; ok {
			return p.Line, p.Column
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1, 1
}

// placeFinder collects the position of each value by its path.
type placeFinder map[string]*token.Position

// Visit implements ast.Visitor.
func (f placeFinder) Visit(node ast.Node) ast.Visitor {
	if pair, ok := node.(*ast.MappingValueNode); ok {
		f[pair.Value.GetPath()] = pair.Key.GetToken().Position
		return f
	}
	if _, ok := f[node.GetPath()]; !ok {
		f[node.GetPath()] = node.GetToken().Position
	}
	return f
}

// checker collects problems.
type checker struct{ found []Problem }

func (c *checker) add(path, expected string) { c.found = append(c.found, Problem{path, expected}) }

func (c *checker) name(path, value string) {
	if value == "" {
		c.add(path, "a name")
	}
}

func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, "an IP address and port, such as 127.0.0.1:7000")
	}
}

func (c *checker) addresses(path string, values []string) {
	seen := make(map[string]bool, len(values))
	for i, v := range values {
		item := fmt.Sprintf("%s[%d]", path, i)
		c.address(item, v)
		if seen[v] {
			c.add(item, "each address once")
		}
		seen[v] = true
	}
}

// url checks the URL of a service, which has a scheme and a host and neither a query nor a user.
func (c *checker) url(path, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.User != nil ||
		u.RawQuery != "" || u.Fragment != "" {
		c.add(path, "a URL such as http://127.0.0.1:9000")
	}
}

func (c *checker) positive(path string, ok bool, what string) {
	if !ok {
		c.add(path, what)
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	c.add(path, "one of "+strings.Join(allowed, ", "))
}
