// Package scenario defines the description of a benchmark: data centres, services, models, organisations, their
// demand, and events at given times. Load reads it from a YAML file and rejects unknown keys and invalid values.
package scenario

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pomelowheel/pomelowheel/internal/settings"
)

// Scenario describes one benchmark.
type Scenario struct {
	Name          string              `yaml:"name"`
	Duration      settings.Duration   `yaml:"duration"`       // time in which requests arrive
	ClientDelay   settings.Duration   `yaml:"client_delay"`   // one way, between clients and gateways
	BetweenDelay  settings.Duration   `yaml:"between_delay"`  // one way, between data centres
	BalancerDelay settings.Duration   `yaml:"balancer_delay"` // until the load balancer avoids a lost gateway
	DataCentres   []DataCentre        `yaml:"data_centres"`
	Services      []Service           `yaml:"services"`
	WeightStore   WeightStore         `yaml:"weight_store"`
	Models        []ModelGroup        `yaml:"models"`
	Profiles      []Profile           `yaml:"profiles"`
	Organisations []Organisation      `yaml:"organisations"`
	Events        []Event             `yaml:"events"`
	Policies      Policies            `yaml:"policies"`
	Admission     settings.Admission  `yaml:"admission"` // of every sidecar; concurrency comes from the service
	Routing       settings.Routing    `yaml:"routing"`
	Live          map[string]LiveCall `yaml:"live"` // by organisation; used with -live only
}

// DataCentre is a data centre with gateways. The load balancer sends callers to it in proportion to Share.
type DataCentre struct {
	Name     string  `yaml:"name"`
	Gateways int     `yaml:"gateways"`
	Share    float64 `yaml:"share"` // of the callers, relative to the other data centres
	Skew     float64 `yaml:"skew"`  // fraction of its callers that use its first gateway; 0 for equal fractions
}

// Service is a model service or a plain service. Its replicas are spread evenly over the data centres.
type Service struct {
	Name            string            `yaml:"name"`
	Kind            string            `yaml:"kind"` // model or plain
	Replicas        int               `yaml:"replicas"`
	MemoryMB        int64             `yaml:"memory_mb"`
	ColdConcurrency int               `yaml:"cold_concurrency"`
	MaxConcurrency  int               `yaml:"max_concurrency"`
	FirstToken      settings.Duration `yaml:"first_token"`     // without the prompt; warm, without other load
	PromptToken     settings.Duration `yaml:"prompt_token"`    // time added for each prompt token
	BetweenTokens   settings.Duration `yaml:"between_tokens"`  // warm, without other load
	BatchSlowdown   float64           `yaml:"batch_slowdown"`  // fraction of the time that each further running request adds
	ColdFactor      float64           `yaml:"cold_factor"`     // factor on all times right after a start
	WarmUp          settings.Duration `yaml:"warm_up"`         // time from a start until the server is warm
	ColdCapacity    int               `yaml:"bears_cold"`      // concurrent requests that a cold server takes without crashing
	WarmCapacity    int               `yaml:"bears_warm"`      // likewise for a warm server; 0 for any number
	DownTime        settings.Duration `yaml:"down_time"`       // time without service after a crash
	CachePrefixes   int               `yaml:"cache_prefixes"`  // prompt prefixes in the cache
	CacheSaving     float64           `yaml:"cache_saving"`    // fraction of the prompt time that a cache hit saves
	LoadedAdapters  int               `yaml:"loaded_adapters"` // adapters loaded at the same time
	ServiceTime     settings.Duration `yaml:"service_time"`    // time of one call; plain services only
}

// WeightStore describes the store that models and adapters are loaded from. With more loads at the same time than
// slots, each takes longer in proportion.
type WeightStore struct {
	LoadRate     float64           `yaml:"load_rate"`  // loads a second
	LoadSlots    int               `yaml:"load_slots"` // model loads at the same time at full speed
	LoadTime     settings.Duration `yaml:"load_time"`  // of one model at full speed
	UnloadTime   settings.Duration `yaml:"unload_time"`
	AdapterTime  settings.Duration `yaml:"adapter_time"`
	AdapterSlots int               `yaml:"adapter_slots"` // adapter loads at the same time at full speed
}

// ModelGroup stands for Count models of the same size and Adapters adapters, assigned to the models round-robin.
type ModelGroup struct {
	Name      string  `yaml:"name"` // prefix of the models' names
	Service   string  `yaml:"service"`
	Count     int     `yaml:"count"`
	Adapters  int     `yaml:"adapters"`
	MemoryMB  int64   `yaml:"memory_mb"`
	KVTokenKB int64   `yaml:"kv_token_kb"`
	MinCopies int     `yaml:"min_copies"`
	AdapterMB int64   `yaml:"adapter_mb"`
	Demand    float64 `yaml:"demand"` // of the group's first model, relative to the other groups
	Skew      float64 `yaml:"skew"`   // demand of the n-th model is Demand / n^Skew
}

// Profile describes how a kind of work is served, like a profile of the configuration.
type Profile struct {
	Name          string            `yaml:"name"`
	Class         string            `yaml:"class"` // interactive or batch
	FirstToken    settings.Duration `yaml:"first_token"`
	BetweenTokens settings.Duration `yaml:"between_tokens"`
	Deadline      settings.Duration `yaml:"deadline"`
	Priority      int               `yaml:"priority"`
	KVTokens      int64             `yaml:"kv_tokens"`
	RetryBudget   float64           `yaml:"retry_budget"`
}

// Organisation is a customer with its rate limit and its demand.
type Organisation struct {
	Name      string    `yaml:"name"`
	Rate      float64   `yaml:"rate"`     // tokens a second
	Burst     int64     `yaml:"burst"`    // tokens
	Weight    float64   `yaml:"weight"`   // relative share of a contended backend server
	Requests  float64   `yaml:"requests"` // a second, outside bursts
	Home      string    `yaml:"home"`     // data centre that takes HomeShare of its calls; optional
	HomeShare float64   `yaml:"home_part"`
	Mix       []Traffic `yaml:"mix"`
	Bursts    []Burst   `yaml:"bursts"`
}

// Traffic is one kind of request in an organisation's mix. Token counts are means; the simulator draws each count from
// a clipped exponential distribution.
type Traffic struct {
	Profile      string  `yaml:"profile"`
	Service      string  `yaml:"service"`
	Share        float64 `yaml:"share"` // of the organisation's requests, relative to the rest of the mix
	PromptTokens int64   `yaml:"prompt_tokens"`
	OutputTokens int64   `yaml:"output_tokens"`
	PrefixReuse  float64 `yaml:"prefix_reuse"` // fraction of requests with a known prefix
	Prefixes     int     `yaml:"prefixes"`     // known prefixes for each model
	Booking      bool    `yaml:"booking"`      // a call with an idempotency key; plain services only
}

// Burst multiplies an organisation's request rate for a limited time.
type Burst struct {
	At     settings.Duration `yaml:"at"`
	Length settings.Duration `yaml:"length"`
	Factor float64           `yaml:"factor"`
}

// Event occurs at a given time. Fields that its kind does not use must be empty.
type Event struct {
	At         settings.Duration `yaml:"at"`
	Kind       string            `yaml:"kind"`
	DataCentre string            `yaml:"data_centre"`
	Service    string            `yaml:"service"`
	Replica    int               `yaml:"replica"` // index from 0
	Model      string            `yaml:"model"`
	Factor     float64           `yaml:"factor"` // factor on the model's demand
}

// The kinds of events.
const (
	EventDataCentreOut  = "data_centre_out"  // by an operator's change
	EventDataCentreIn   = "data_centre_in"   // by an operator's change
	EventDataCentreLost = "data_centre_lost" // all its hosts at once
	EventDataCentreBack = "data_centre_back" // its hosts start again, cold
	EventReplicaLost    = "replica_lost"
	EventReplicaBack    = "replica_back"
	EventReplicaCold    = "replica_cold" // the backend server restarts without notice
	EventTableAway      = "table_service_away"
	EventTableBack      = "table_service_back"
	EventDemand         = "demand" // the model's demand is multiplied by Factor
)

// LiveCall configures how -live sends an organisation's calls.
type LiveCall struct {
	Key   string `yaml:"key"`
	Model string `yaml:"model"`
}

// Policies holds the chosen policy of each decision. PolicyValues lists the possible values. A report in text form
// prints the fields under their Go names.
type Policies struct {
	Routing   string `yaml:"routing"`
	Queueing  string `yaml:"queueing"`
	Admission string `yaml:"admission"`
	Retries   string `yaml:"retries"`
	Placement string `yaml:"placement"`
	Limits    string `yaml:"limits"`
}

// PolicyValues returns the possible policies of each decision; the first one is the default.
func PolicyValues() map[string][]string {
	return map[string][]string{
		"routing":   {"load", "probe", "least_in_flight", "round_robin", "random"},
		"queueing":  {"fair", "fifo", "priority"},
		"admission": {"on", "off"},
		"retries":   {"on", "off"},
		"placement": {"demand", "static"},
		"limits":    {"loans", "loans_no_wait", "static", "exact"},
	}
}

// Field returns a pointer to the policy of a decision, or nil for an unknown decision.
func (p *Policies) Field(decision string) *string {
	switch decision {
	case "routing":
		return &p.Routing
	case "queueing":
		return &p.Queueing
	case "admission":
		return &p.Admission
	case "retries":
		return &p.Retries
	case "placement":
		return &p.Placement
	case "limits":
		return &p.Limits
	}
	return nil
}

// SetPolicy sets the policy of a decision. It returns an error for an unknown decision or policy.
func (s *Scenario) SetPolicy(decision, policy string) error {
	field := s.Policies.Field(decision)
	if field == nil {
		return fmt.Errorf("unknown decision %q; expected one of %s", decision, strings.Join(Decisions(), ", "))
	}
	if values := PolicyValues()[decision]; !slices.Contains(values, policy) {
		return fmt.Errorf("%s=%q: expected one of %s", decision, policy, strings.Join(values, ", "))
	}
	*field = policy
	return nil
}
