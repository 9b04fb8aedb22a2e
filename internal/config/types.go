// Package config defines the configuration that operators change at run time (organisations, keys, profiles,
// services, models and data centres), validates changes to it, and stores them in a versioned change log in
// the table service. An entity has the version of the change that last set it, and a process never replaces
// an entity by an older version of it.
package config

import (
	"encoding/json"
	"fmt"
	"time"
)

// Kind is the kind of a configuration entity.
type Kind string

// The kinds of entities.
const (
	KindOrganisation Kind = "organisation"
	KindKey          Kind = "key"
	KindProfile      Kind = "profile"
	KindService      Kind = "service"
	KindModel        Kind = "model"
	KindDataCentre   Kind = "data_centre"
)

// Kinds returns all kinds, ordered so that an entity refers only to entities of its own or an earlier kind.
func Kinds() []Kind {
	return []Kind{KindOrganisation, KindProfile, KindDataCentre, KindService, KindModel, KindKey}
}

// Organisation is a customer. Its rate and burst limits apply to all hosts together.
type Organisation struct {
	Name   string  `json:"name"`
	Rate   float64 `json:"rate"`   // tokens per second
	Burst  int64   `json:"burst"`  // tokens
	Weight float64 `json:"weight"` // relative share of a contended backend server; 0 means 1
}

// Key is an API key. Only its digest is stored.
type Key struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Digest       string `json:"digest"` // SHA-256 of the key, in lower-case hex
	Withdrawn    bool   `json:"withdrawn"`
}

// Class tells interactive requests, whose user waits for the response, from batch requests.
type Class string

// The classes of a profile.
const (
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
)

// Profile sets the latency targets, limits and priority of a type of request.
type Profile struct {
	Name            string  `json:"name"`
	Class           Class   `json:"class"`
	FirstTokenMS    int64   `json:"first_token_ms"`    // latency target for the first token, milliseconds
	BetweenTokensMS int64   `json:"between_tokens_ms"` // latency target between tokens, milliseconds
	DeadlineMS      int64   `json:"deadline_ms"`       // from arrival to the last byte, milliseconds
	Priority        int     `json:"priority"`          // the engine serves higher values first
	MaxOutputTokens int64   `json:"max_output_tokens"` // upper limit and default
	KVTokens        int64   `json:"kv_tokens"`         // KV cache reserved for each running request, tokens
	RetryBudget     float64 `json:"retry_budget"`      // retries per first attempt, from 0 to 1, e.g. 0.2
}

// Deadline returns the deadline as a duration.
func (p Profile) Deadline() time.Duration { return time.Duration(p.DeadlineMS) * time.Millisecond }

// ServiceKind tells model services from plain services.
type ServiceKind string

// The kinds of a service.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service is a service that callers send requests to. Its requests run under Profile by default.
type Service struct {
	Name              string      `json:"name"`
	Kind              ServiceKind `json:"kind"`
	Profile           string      `json:"profile"`
	AllowedProfiles   []string    `json:"allowed_profiles,omitempty"`   // other profiles that a caller may request
	Open              bool        `json:"open,omitempty"`               // requests need no key
	RepeatableMethods []string    `json:"repeatable_methods,omitempty"` // HTTP methods safe to repeat, besides GET and HEAD
}

// Repeatable reports whether a request with this HTTP method may be sent more than once.
func (s Service) Repeatable(method string) bool {
	if method == "GET" || method == "HEAD" {
		return true
	}
	for _, m := range s.RepeatableMethods {
		if m == method {
			return true
		}
	}
	return false
}

// Model is a model or an adapter of a model service.
type Model struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	Base       string `json:"base,omitempty"` // base model of an adapter
	MemoryMB   int64  `json:"memory_mb"`      // weights, mebibytes
	KVTokenKB  int64  `json:"kv_token_kb"`    // KV cache of one token, kibibytes
	MinCopies  int    `json:"min_copies"`     // smallest number of copies to keep loaded
	WeightPath string `json:"weight_path"`    // name in the weight store
}

// Adapter reports whether the model is an adapter of a base model.
func (m Model) Adapter() bool { return m.Base != "" }

// DataCentre is a data centre in a region.
type DataCentre struct {
	Name         string `json:"name"`
	Region       string `json:"region"`
	OutOfService bool   `json:"out"` // taken out of service
}

// Entity is one versioned entity. Version is the head version of the change that set it.
type Entity struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// EntityID identifies an entity by its kind and its name within that kind.
type EntityID struct {
	Kind Kind
	Name string
}

// ID returns the ID of e.
func (e Entity) ID() EntityID { return EntityID{e.Kind, e.Name} }

// NewEntity returns an entity with the JSON encoding of value and without a version. value is an Organisation,
// Key, Profile, Service, Model or DataCentre; any other type is an error.
func NewEntity(value any) (Entity, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return Entity{}, fmt.Errorf("encode entity: %w", err)
	}
	switch v := value.(type) {
	case Organisation:
		return Entity{Kind: KindOrganisation, Name: v.Name, Value: raw}, nil
	case Key:
		return Entity{Kind: KindKey, Name: v.ID, Value: raw}, nil
	case Profile:
		return Entity{Kind: KindProfile, Name: v.Name, Value: raw}, nil
	case Service:
		return Entity{Kind: KindService, Name: v.Name, Value: raw}, nil
	case Model:
		return Entity{Kind: KindModel, Name: v.Name, Value: raw}, nil
	case DataCentre:
		return Entity{Kind: KindDataCentre, Name: v.Name, Value: raw}, nil
	}
	return Entity{}, fmt.Errorf("encode entity: unsupported type %T", value)
}

// Change is one entry of the change log.
type Change struct {
	Version  int64     `json:"version"`
	ID       string    `json:"id"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	Action   string    `json:"action"`
	Affects  string    `json:"affects"`         // effect of the change, as shown to the operator before it was made
	At       time.Time `json:"at"`              // by the operator's clock; informational only
	Force    bool      `json:"force,omitempty"` // permits leaving a region without a data centre in service
	Entities []Entity  `json:"entities"`
	Before   []Entity  `json:"before,omitempty"` // previous state of Entities, in the same order; set by Accept
}
