package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
)

// ValidationError lists what is wrong with a change.
type ValidationError struct{ Problems []string }

// Error implements error.
func (e *ValidationError) Error() string {
	return "change not valid: " + strings.Join(e.Problems, "; ")
}

func (e *ValidationError) check(ok bool, format string, args ...any) {
	if !ok {
		e.Problems = append(e.Problems, fmt.Sprintf(format, args...))
	}
}

func (e *ValidationError) orNil() error {
	if len(e.Problems) == 0 {
		return nil
	}
	slices.Sort(e.Problems)
	return e
}

const digestBytes = 32

// namePattern admits names that can stand in a URL path, a row key and a log line without escaping.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// Validate reports whether current with entities is a valid configuration. Without force, the last data
// centre in service of a region cannot be taken out. The error is a *ValidationError.
func Validate(current *Snapshot, entities []Entity, force bool) error {
	var v ValidationError
	for _, e := range entities {
		v.check(namePattern.MatchString(e.Name), "%s %q: the name is not allowed", e.Kind, e.Name)
	}
	next, err := current.Apply(current.Version()+1, stamp(entities, current.Version()+1))
	if err != nil {
		v.check(false, "%v", err)
		return v.orNil()
	}
	for _, e := range entities {
		v.checkName(next, e)
		v.checkKeyChange(current, next, e)
	}
	v.organisations(next)
	v.profiles(next)
	v.services(next)
	v.models(next)
	v.keys(next)
	v.dataCentres(current, next, entities, force)
	return v.orNil()
}

// checkName refuses a value whose own name differs from the name of its entity.
func (e *ValidationError) checkName(next *Snapshot, entity Entity) {
	var own string
	switch entity.Kind {
	case KindOrganisation:
		own = next.organisations[entity.Name].Name
	case KindKey:
		own = next.keys[entity.Name].ID
	case KindProfile:
		own = next.profiles[entity.Name].Name
	case KindService:
		own = next.services[entity.Name].Name
	case KindModel:
		own = next.models[entity.Name].Name
	case KindDataCentre:
		own = next.dataCentres[entity.Name].Name
	}
	e.check(entity.Deleted || own == entity.Name, "%s %q: the value carries the name %q", entity.Kind, entity.Name, own)
}

// checkKeyChange refuses to bring back a withdrawn key or to change whom a key belongs to.
func (e *ValidationError) checkKeyChange(current, next *Snapshot, entity Entity) {
	if entity.Kind != KindKey {
		return
	}
	before, had := current.Key(entity.Name)
	after, has := next.Key(entity.Name)
	if !had {
		if held, ok := current.Entity(entity.ID()); ok && held.Deleted {
			e.check(!has, "key %q was deleted and cannot be given again", entity.Name)
		}
		return
	}
	e.check(!has || !before.Withdrawn || after.Withdrawn, "key %q is withdrawn and cannot be given again", entity.Name)
	e.check(!has || before.Digest == after.Digest, "key %q: the digest cannot change", entity.Name)
	e.check(!has || before.Organisation == after.Organisation, "key %q: the organisation cannot change", entity.Name)
}

func positive(f float64) bool { return f > 0 && !math.IsInf(f, 0) }

func (e *ValidationError) organisations(s *Snapshot) {
	for name, o := range s.organisations {
		e.check(positive(o.Rate), "organisation %q: rate must be above zero", name)
		e.check(o.Burst > 0, "organisation %q: burst must be above zero", name)
		e.check(o.Weight >= 0 && !math.IsInf(o.Weight, 0), "organisation %q: weight must not be negative", name)
	}
}

func (e *ValidationError) profiles(s *Snapshot) {
	for name, p := range s.profiles {
		e.check(p.Class == ClassInteractive || p.Class == ClassBatch,
			"profile %q: class must be interactive or batch", name)
		e.check(p.DeadlineMS > 0, "profile %q: deadline_ms must be above zero", name)
		e.check(p.FirstTokenMS >= 0 && p.BetweenTokensMS >= 0, "profile %q: targets must not be negative", name)
		e.check(p.MaxOutputTokens >= 0 && p.KVTokens >= 0, "profile %q: token counts must not be negative", name)
		e.check(p.RetryBudget >= 0 && p.RetryBudget <= 1, "profile %q: retry_budget must be from 0 to 1", name)
	}
}

func (e *ValidationError) services(s *Snapshot) {
	for name, v := range s.services {
		e.check(v.Kind == ServiceModel || v.Kind == ServicePlain, "service %q: kind must be model or plain", name)
		for _, p := range append([]string{v.Profile}, v.AllowedProfiles...) {
			_, ok := s.profiles[p]
			e.check(ok, "service %q: profile %q does not exist", name, p)
		}
	}
}

func (e *ValidationError) models(s *Snapshot) {
	for name, m := range s.models {
		service, ok := s.services[m.Service]
		e.check(ok, "model %q: service %q does not exist", name, m.Service)
		e.check(!ok || service.Kind == ServiceModel, "model %q: service %q is not a model service", name, m.Service)
		e.check(m.MemoryMB > 0 || m.Adapter() && m.MemoryMB == 0, "model %q: memory_mb must be above zero", name)
		e.check(m.KVTokenKB >= 0, "model %q: kv_token_kb must not be negative", name)
		e.check(m.MinCopies >= 0, "model %q: min_copies must not be negative", name)
		if !m.Adapter() {
			continue
		}
		base, ok := s.models[m.Base]
		e.check(ok, "model %q: base model %q does not exist", name, m.Base)
		e.check(!ok || !base.Adapter(), "model %q: base model %q is itself an adapter", name, m.Base)
		e.check(!ok || base.Service == m.Service, "model %q: base model %q is of another service", name, m.Base)
	}
}

func (e *ValidationError) keys(s *Snapshot) {
	owner := make(map[string]string)
	for id, k := range s.keys {
		_, ok := s.organisations[k.Organisation]
		e.check(ok || k.Withdrawn, "key %q: organisation %q does not exist", id, k.Organisation)
		raw, err := hex.DecodeString(k.Digest)
		e.check(err == nil && len(raw) == digestBytes && strings.ToLower(k.Digest) == k.Digest,
			"key %q: the digest is not a SHA-256 in lower-case hex", id)
		if other, ok := owner[k.Digest]; ok {
			e.check(false, "keys %q and %q have the same digest", min(id, other), max(id, other))
		}
		owner[k.Digest] = id
	}
}

func (e *ValidationError) dataCentres(current, next *Snapshot, entities []Entity, force bool) {
	inService := make(map[string]int)
	for name, d := range next.dataCentres {
		e.check(d.Region != "", "data centre %q: the region is missing", name)
		if !d.Out {
			inService[d.Region]++
		}
	}
	for _, entity := range entities {
		before, had := current.dataCentres[entity.Name]
		if entity.Kind != KindDataCentre || !had || before.Out || force {
			continue
		}
		e.check(inService[before.Region] > 0, "data centre %q: no other data centre of region %q would be in service",
			entity.Name, before.Region)
	}
}
