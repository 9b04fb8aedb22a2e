// Package settings defines, loads and validates the YAML settings files of pomelo-gateway and pomelo-sidecar.
// Decoding is strict: an unknown key, a value without a unit, a missing address or a duplicate one is reported
// with file, line and column.
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

// Problem is a value that failed validation. Path is its YAML path, such as "$.peers.listen", and Expected says
// what the value should have been.
type Problem struct {
	Path     string
	Expected string
}

// validatable is implemented by the settings types of the binaries. problems returns all values that are not
// valid.
type validatable interface {
	problems() []Problem
}

// LoadGateway reads the settings of a gateway from the file at path and fills in defaults. It stops at the first
// value that cannot be decoded; otherwise the error lists every value that is not valid, one per line, as
// "file:line:column: setting: expected what".
func LoadGateway(path string) (*Gateway, error) {
	s := defaultGateway()
	return s, load(path, s)
}

// LoadSidecar reads the settings of a sidecar from the file at path and fills in defaults. Its errors are like
// those of LoadGateway.
func LoadSidecar(path string) (*Sidecar, error) {
	s := defaultSidecar()
	return s, load(path, s)
}

func load(path string, target validatable) error {
	source, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if err := yaml.UnmarshalWithOptions(source, target, yaml.Strict(), yaml.DisallowUnknownField()); err != nil {
		return decodeError(path, err)
	}
	problems := target.problems()
	if len(problems) == 0 {
		return nil
	}
	file, err := parser.ParseBytes(source, 0)
	if err != nil {
		return decodeError(path, err)
	}
	var errs []error
	for _, p := range problems {
		line, column := position(file, p.Path)
		errs = append(errs, fmt.Errorf("%s:%d:%d: %s: expected %s",
			path, line, column, strings.TrimPrefix(p.Path, "$."), p.Expected))
	}
	return errors.Join(errs...)
}

func decodeError(path string, err error) error {
	var detail yaml.Error
	if errors.As(err, &detail) && detail.GetToken() != nil {
		p := detail.GetToken().Position
		return fmt.Errorf("%s:%d:%d: %s", path, p.Line, p.Column, detail.GetMessage())
	}
	return fmt.Errorf("%s:1:1: %w", path, err)
}

// position returns the position of the value at path, or of its nearest ancestor in the file if the value is not
// given. The position of a mapping value is that of its key.
func position(file *ast.File, path string) (line, column int) {
	positions := make(positionCollector)
	for _, doc := range file.Docs {
		if doc.Body != nil { // an empty document has none
			ast.Walk(positions, doc.Body)
		}
	}
	for path != "" {
		if p, ok := positions[path]; ok {
			return p.Line, p.Column
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1, 1
}

// positionCollector is an ast.Visitor that collects the position of each value by its YAML path.
type positionCollector map[string]*token.Position

// Visit implements ast.Visitor.
func (c positionCollector) Visit(node ast.Node) ast.Visitor {
	if pair, ok := node.(*ast.MappingValueNode); ok {
		c[pair.Value.GetPath()] = pair.Key.GetToken().Position
		return c
	}
	if _, ok := c[node.GetPath()]; !ok {
		c[node.GetPath()] = node.GetToken().Position
	}
	return c
}

// validator checks values and collects those that are not valid.
type validator struct{ found []Problem }

func (c *validator) add(path, expected string) { c.found = append(c.found, Problem{path, expected}) }

func (c *validator) requireName(path, value string) {
	if value == "" {
		c.add(path, "a name")
	}
}

func (c *validator) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, "an IP address and port, such as 127.0.0.1:7000")
	}
}

func (c *validator) addresses(path string, values []string) {
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

// url checks the base URL of a service: http or https with a host, and without user, query or fragment.
func (c *validator) url(path, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.User != nil ||
		u.RawQuery != "" || u.Fragment != "" {
		c.add(path, "a URL such as http://127.0.0.1:9000")
	}
}

func (c *validator) require(path string, ok bool, expected string) {
	if !ok {
		c.add(path, expected)
	}
}

func (c *validator) oneOf(path, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	c.add(path, "one of "+strings.Join(allowed, ", "))
}
