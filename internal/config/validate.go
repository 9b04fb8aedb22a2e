package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

// ValidationError reports that a change is not valid. Problems lists the reasons, sorted.
type ValidationError struct{ Problems []string }

// Error implements error.
func (e *ValidationError) Error() string {
	return "invalid change: " + strings.Join(e.Problems, "; ")
}

func (e *ValidationError) require(ok bool, format string, args ...any) {
	if !ok {
		e.Problems = append(e.Problems, fmt.Sprintf(format, args...))
	}
}

func (e *ValidationError) errorOrNil() error {
	if len(e.Problems) == 0 {
		return nil
	}
	slices.Sort(e.Problems)
	return e
}

const digestLengthBytes = 32

// namePattern matches names that need no escaping in a URL path, a row key or a log line.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// Validate checks whether applying entities to current gives a valid configuration. Without force, a region's
// last data centre in service can be neither taken out of service nor removed. The error is a
// *ValidationError.
func Validate(current *Snapshot, entities []Entity, force bool) error {
	var v ValidationError
	for _, e := range entities {
		v.require(namePattern.MatchString(e.Name), "%s %q: the name is not allowed", e.Kind, e.Name)
	}
	next, err := current.Apply(current.Version()+1, withVersion(entities, current.Version()+1))
	if err != nil {
		v.require(false, "%v", err)
		return v.errorOrNil()
	}
	for _, e := range entities {
		v.checkNameInValue(next, e)
		v.checkKeyChange(current, next, e)
	}
	v.organisations(next)
	v.profiles(next)
	v.services(next)
	v.models(next)
	v.keys(next)
	v.dataCentres(current, next, entities, force)
	return v.errorOrNil()
}

// checkNameInValue rejects an entity whose encoded value has a different name (for a key, a different ID).
func (e *ValidationError) checkNameInValue(next *Snapshot, entity Entity) {
	var nameInValue string
	switch entity.Kind {
	case KindOrganisation:
		nameInValue = next.organisations[entity.Name].Name
	case KindKey:
		nameInValue = next.keys[entity.Name].ID
	case KindProfile:
		nameInValue = next.profiles[entity.Name].Name
	case KindService:
		nameInValue = next.services[entity.Name].Name
	case KindModel:
		nameInValue = next.models[entity.Name].Name
	case KindDataCentre:
		nameInValue = next.dataCentres[entity.Name].Name
	}
	e.require(entity.Deleted || nameInValue == entity.Name,
		"%s %q: the name in the value is %q", entity.Kind, entity.Name, nameInValue)
}

// checkKeyChange rejects a change that reactivates a withdrawn or deleted key, or that changes the digest or
// the organisation of a key.
func (e *ValidationError) checkKeyChange(current, next *Snapshot, entity Entity) {
	if entity.Kind != KindKey {
		return
	}
	before, existed := current.Key(entity.Name)
	after, exists := next.Key(entity.Name)
	if !existed {
		if existing, ok := current.Entity(entity.ID()); ok && existing.Deleted {
			e.require(!exists, "key %q was deleted and cannot be reactivated", entity.Name)
		}
		return
	}
	e.require(!exists || !before.Withdrawn || after.Withdrawn, "key %q is withdrawn and cannot be reactivated", entity.Name)
	e.require(!exists || before.Digest == after.Digest, "key %q: the digest cannot change", entity.Name)
	e.require(!exists || before.Organisation == after.Organisation, "key %q: the organisation cannot change", entity.Name)
}

func positiveFinite(f float64) bool { return f > 0 && !math.IsInf(f, 0) }

func (e *ValidationError) organisations(s *Snapshot) {
	for name, o := range s.organisations {
		e.require(positiveFinite(o.Rate), "organisation %q: rate must be above zero", name)
		e.require(o.Burst > 0, "organisation %q: burst must be above zero", name)
		e.require(o.Weight >= 0 && !math.IsInf(o.Weight, 0), "organisation %q: weight must not be negative", name)
	}
}

func (e *ValidationError) profiles(s *Snapshot) {
	for name, p := range s.profiles {
		e.require(p.Class == ClassInteractive || p.Class == ClassBatch,
			"profile %q: class must be interactive or batch", name)
		e.require(p.DeadlineMS > 0, "profile %q: deadline_ms must be above zero", name)
		e.require(p.FirstTokenMS >= 0 && p.BetweenTokensMS >= 0,
			"profile %q: first_token_ms and between_tokens_ms must not be negative", name)
		e.require(p.MaxOutputTokens >= 0 && p.KVTokens >= 0,
			"profile %q: max_output_tokens and kv_tokens must not be negative", name)
		e.require(p.RetryBudget >= 0 && p.RetryBudget <= 1, "profile %q: retry_budget must be from 0 to 1", name)
	}
}

func (e *ValidationError) services(s *Snapshot) {
	for name, v := range s.services {
		e.require(v.Kind == ServiceModel || v.Kind == ServicePlain, "service %q: kind must be model or plain", name)
		for _, p := range append([]string{v.Profile}, v.AllowedProfiles...) {
			_, ok := s.profiles[p]
			e.require(ok, "service %q: profile %q does not exist", name, p)
		}
	}
}

func (e *ValidationError) models(s *Snapshot) {
	for name, m := range s.models {
		service, ok := s.services[m.Service]
		e.require(ok, "model %q: service %q does not exist", name, m.Service)
		e.require(!ok || service.Kind == ServiceModel, "model %q: service %q is not a model service", name, m.Service)
		e.require(m.MemoryMB > 0 || m.Adapter() && m.MemoryMB == 0, "model %q: memory_mb must be above zero", name)
		e.require(m.KVTokenKB >= 0, "model %q: kv_token_kb must not be negative", name)
		e.require(m.MinCopies >= 0, "model %q: min_copies must not be negative", name)
		if !m.Adapter() {
			continue
		}
		base, ok := s.models[m.Base]
		e.require(ok, "model %q: base model %q does not exist", name, m.Base)
		e.require(!ok || !base.Adapter(), "model %q: base model %q is itself an adapter", name, m.Base)
		e.require(!ok || base.Service == m.Service, "model %q: base model %q belongs to another service", name, m.Base)
	}
}

func (e *ValidationError) keys(s *Snapshot) {
	idByDigest := make(map[string]string)
	for id, k := range s.keys {
		_, ok := s.organisations[k.Organisation]
		e.require(ok || k.Withdrawn, "key %q: organisation %q does not exist", id, k.Organisation)
		raw, err := hex.DecodeString(k.Digest)
		e.require(err == nil && len(raw) == digestLengthBytes && strings.ToLower(k.Digest) == k.Digest,
			"key %q: the digest is not a SHA-256 in lower-case hex", id)
		if other, ok := idByDigest[k.Digest]; ok {
			e.require(false, "keys %q and %q have the same digest", min(id, other), max(id, other))
		}
		idByDigest[k.Digest] = id
	}
}

func (e *ValidationError) dataCentres(current, next *Snapshot, entities []Entity, force bool) {
	inService := make(map[string]int)
	for name, d := range next.dataCentres {
		e.require(d.Region != "", "data centre %q: the region is missing", name)
		if !d.OutOfService {
			inService[d.Region]++
		}
	}
	for _, entity := range entities {
		before, existed := current.dataCentres[entity.Name]
		if entity.Kind != KindDataCentre || !existed || before.OutOfService || force {
			continue
		}
		e.require(inService[before.Region] > 0, "data centre %q: no other data centre of region %q would be in service",
			entity.Name, before.Region)
	}
}
