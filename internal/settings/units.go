package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Duration is a time.Duration that is written in YAML with a unit, such as "250ms" or "4s". It is not negative.
type Duration time.Duration

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	v, err := time.ParseDuration(text)
	if err != nil || v < 0 {
		return unitError(node, "a number with a unit, such as 250ms, 4s or 2m")
	}
	*d = Duration(v)
	return nil
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// ByteSize is a size in bytes that is written in YAML with a unit (B, KiB, MiB or GiB), such as "64KiB". It is not
// negative.
type ByteSize int64

// byteUnits are ordered so that no suffix hides a longer one: every other unit also ends in B.
var byteUnits = []struct {
	suffix string
	bytes  int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalYAML implements yaml.NodeUnmarshaler.
func (s *ByteSize) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	for _, u := range byteUnits {
		number, found := strings.CutSuffix(text, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > (1<<62)/u.bytes {
			break
		}
		*s = ByteSize(n * u.bytes)
		return nil
	}
	return unitError(node, "a whole number with a unit: B, KiB, MiB or GiB")
}

func unitError(node ast.Node, expected string) error {
	return &yaml.SyntaxError{
		Message: fmt.Sprintf("%q: expected %s", node.GetToken().Value, expected),
		Token:   node.GetToken(),
	}
}
