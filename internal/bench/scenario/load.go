package scenario

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/pomelowheel/pomelowheel/internal/settings"
)

// maxDuration limits a scenario's duration, so that a wrong unit does not make it run for hours.
const maxDuration = time.Hour

func defaults() *Scenario {
	s := &Scenario{
		BalancerDelay: settings.Duration(2 * time.Second),
		Admission: settings.Admission{
			MaxQueue: 256, MaxQueueOrg: 128, BatchConcurrency: 2, RampStep: settings.Duration(2 * time.Second),
		},
		Routing: settings.Routing{
			ProbeCount: 2, StatusInterval: settings.Duration(time.Second),
			StatusMaxAge: settings.Duration(5 * time.Second), MaxAttempts: 3,
		},
	}
	for decision, values := range PolicyValues() {
		*s.Policies.Field(decision) = values[0]
	}
	return s
}

// Load reads and validates a scenario file. The error names the file and lists every problem, one a line.
func Load(path string) (*Scenario, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	s := defaults()
	if err := yaml.UnmarshalWithOptions(source, s, yaml.Strict(), yaml.DisallowUnknownField()); err != nil {
		var detail yaml.Error
		if errors.As(err, &detail) && detail.GetToken() != nil {
			position := detail.GetToken().Position
			return nil, fmt.Errorf("%s:%d:%d: %s", path, position.Line, position.Column, detail.GetMessage())
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c := &checker{s: s, services: make(map[string]Service)}
	c.check()
	for i, problem := range c.problems {
		c.problems[i] = fmt.Errorf("%s: %w", path, problem)
	}
	return s, errors.Join(c.problems...)
}

// checker collects the problems of a scenario.
type checker struct {
	s        *Scenario
	services map[string]Service
	problems []error
}

func (c *checker) require(ok bool, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, fmt.Errorf(format, args...))
	}
}

// checkNames requires that each name is present and unique, and returns the set of names.
func checkNames[T any](c *checker, what string, all []T, name func(T) string) map[string]bool {
	seen := make(map[string]bool)
	for i, v := range all {
		c.require(name(v) != "", "%s[%d]: expected a name", what, i)
		c.require(!seen[name(v)], "%s[%d]: duplicate name %q", what, i, name(v))
		seen[name(v)] = true
	}
	return seen
}

func (c *checker) check() {
	s := c.s
	c.require(s.Name != "", "name: expected a name")
	c.require(s.Duration > 0 && s.Duration.D() <= maxDuration, "duration: expected a time up to %v", maxDuration)
	c.require(s.Routing.MaxAttempts > 0 && s.Routing.StatusInterval > 0 && s.Routing.ProbeCount > 0,
		"routing: expected max_attempts, status_interval and probe_count above zero")
	c.require(s.Admission.MaxQueue >= 0 && s.Admission.RampStep > 0,
		"admission: expected max_queue of at least 0 and ramp_step above zero")
	for decision, values := range PolicyValues() {
		c.require(slices.Contains(values, *s.Policies.Field(decision)),
			"policies.%s: expected one of %s", decision, strings.Join(values, ", "))
	}
	c.checkServers()
	c.checkDemand()
	c.checkEvents()
}

func (c *checker) checkServers() {
	s := c.s
	checkNames(c, "data_centres", s.DataCentres, func(d DataCentre) string { return d.Name })
	c.require(len(s.DataCentres) > 0, "data_centres: expected at least one")
	for i, d := range s.DataCentres {
		c.require(d.Gateways > 0 && d.Share > 0, "data_centres[%d]: expected gateways and share above zero", i)
		c.require(d.Skew >= 0 && d.Skew <= 1, "data_centres[%d].skew: expected a fraction from 0 to 1", i)
	}
	checkNames(c, "services", s.Services, func(v Service) string { return v.Name })
	models := make(map[string]bool)
	for i, v := range s.Services {
		c.services[v.Name] = v
		models[v.Name] = v.Kind == "model"
		c.require(v.Kind == "model" || v.Kind == "plain", "services[%d].kind: expected model or plain", i)
		c.require(v.Replicas > 0, "services[%d].replicas: expected at least 1", i)
		c.require(v.ColdConcurrency > 0 && v.MaxConcurrency >= v.ColdConcurrency,
			"services[%d]: expected cold_concurrency above zero and max_concurrency at least as high", i)
		c.require(v.ColdFactor >= 1, "services[%d].cold_factor: expected at least 1", i)
		if v.Kind == "model" {
			c.require(v.MemoryMB > 0 && v.BetweenTokens > 0, "services[%d]: expected memory_mb and between_tokens above zero", i)
		} else {
			c.require(v.ServiceTime > 0, "services[%d].service_time: expected a time above zero", i)
		}
	}
	checkNames(c, "models", s.Models, func(m ModelGroup) string { return m.Name })
	for i, m := range s.Models {
		c.require(models[m.Service], "models[%d].service: %q is not a model service", i, m.Service)
		c.require(m.Count > 0 && m.MemoryMB > 0 && m.Demand > 0, "models[%d]: expected count, memory_mb and demand above zero", i)
	}
	w := s.WeightStore
	c.require(w.LoadRate > 0 && w.LoadSlots > 0 && w.AdapterSlots > 0,
		"weight_store: expected load_rate, load_slots and adapter_slots above zero")
}

func (c *checker) checkDemand() {
	s := c.s
	profiles := checkNames(c, "profiles", s.Profiles, func(p Profile) string { return p.Name })
	for i, p := range s.Profiles {
		c.require(p.Class == "interactive" || p.Class == "batch", "profiles[%d].class: expected interactive or batch", i)
		c.require(p.Deadline > 0, "profiles[%d].deadline: expected a time above zero", i)
	}
	checkNames(c, "organisations", s.Organisations, func(o Organisation) string { return o.Name })
	c.require(len(s.Organisations) > 0, "organisations: expected at least one")
	for i, o := range s.Organisations {
		c.require(o.Rate > 0 && o.Burst > 0 && o.Requests > 0,
			"organisations[%d]: expected rate, burst and requests above zero", i)
		c.require(o.Home == "" || c.hasDataCentre(o.Home), "organisations[%d].home: no data centre %q", i, o.Home)
		c.require(len(o.Mix) > 0, "organisations[%d].mix: expected at least one kind of request", i)
		for j, t := range o.Mix {
			service, known := c.services[t.Service]
			c.require(known, "organisations[%d].mix[%d].service: no service %q", i, j, t.Service)
			c.require(profiles[t.Profile], "organisations[%d].mix[%d].profile: no profile %q", i, j, t.Profile)
			c.require(t.Share > 0, "organisations[%d].mix[%d].share: expected a share above zero", i, j)
			c.require(!t.Booking || service.Kind == "plain",
				"organisations[%d].mix[%d].booking: allowed for plain services only", i, j)
			c.require(service.Kind != "model" || t.OutputTokens > 0,
				"organisations[%d].mix[%d].output_tokens: expected tokens above zero", i, j)
			c.require(t.PrefixReuse == 0 || t.Prefixes > 0,
				"organisations[%d].mix[%d].prefixes: expected a number above zero", i, j)
		}
		for j, b := range o.Bursts {
			c.require(b.Factor > 0 && b.Length > 0, "organisations[%d].bursts[%d]: expected factor and length above zero", i, j)
		}
	}
}

func (c *checker) hasDataCentre(name string) bool {
	return slices.ContainsFunc(c.s.DataCentres, func(d DataCentre) bool { return d.Name == name })
}

func (c *checker) checkEvents() {
	models := make(map[string]bool)
	for _, m := range c.s.ModelList() {
		models[m.Name] = true
	}
	for i, e := range c.s.Events {
		c.require(e.At < c.s.Duration, "events[%d].at: expected a time within the scenario", i)
		switch e.Kind {
		case EventDataCentreOut, EventDataCentreIn, EventDataCentreLost, EventDataCentreBack:
			c.require(c.hasDataCentre(e.DataCentre), "events[%d].data_centre: no data centre %q", i, e.DataCentre)
		case EventReplicaLost, EventReplicaBack, EventReplicaCold:
			service, ok := c.services[e.Service]
			c.require(ok && e.Replica >= 0 && e.Replica < service.Replicas,
				"events[%d]: no replica %d of service %q", i, e.Replica, e.Service)
		case EventTableAway, EventTableBack:
		case EventDemand:
			c.require(models[e.Model] && e.Factor > 0, "events[%d]: expected a model and a factor above zero", i)
		default:
			c.require(false, "events[%d].kind: %q is not known", i, e.Kind)
		}
	}
}

// Decisions returns the sorted names of the decisions that have a choice of policies.
func Decisions() []string { return slices.Sorted(maps.Keys(PolicyValues())) }
