package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/pomelowheel/pomelowheel/internal/config"
)

// StaticConfig is a configuration read once from a file. It is always taken as confirmed.
type StaticConfig struct{ snapshot *config.Snapshot }

// LoadStaticConfig reads a JSON list of configuration entities.
func LoadStaticConfig(path string) (*StaticConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	var entities []config.Entity
	if err := json.Unmarshal(text, &entities); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	version := int64(1)
	for _, e := range entities {
		version = max(version, e.Version)
	}
	return NewStaticConfig(version, entities)
}

// NewStaticConfig returns a configuration of the given entities at a version.
func NewStaticConfig(version int64, entities []config.Entity) (*StaticConfig, error) {
	snapshot, err := new(config.Snapshot).Apply(version, entities)
	if err != nil {
		return nil, err
	}
	return &StaticConfig{snapshot: snapshot}, nil
}

// Snapshot implements Config.
func (c *StaticConfig) Snapshot() *config.Snapshot { return c.snapshot }

// Confirm implements Config.
func (c *StaticConfig) Confirm(context.Context) error { return nil }
