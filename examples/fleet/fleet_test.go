// Package fleet tests that the settings and the configuration of the fleet example load.
package fleet

import (
	"os"
	"testing"

	"github.com/pomelowheel/pomelowheel/platform"
)

// Guards against changes of the settings or the configuration that the example does not follow.
func TestTheExampleLoads(t *testing.T) {
	for _, name := range []string{"gateway", "agent-1", "agent-2"} {
		if _, err := platform.LoadSettings(name + ".json"); err != nil {
			t.Error(err)
		}
	}
	value, err := os.ReadFile("configuration.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := platform.DecodeConfiguration(value)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range c.Routes {
		for _, target := range r.Targets {
			if c.Services[target.Service] == nil {
				t.Errorf("route %s has the target service %s, which is not configured", r.Name, target.Service)
			}
		}
	}
}
