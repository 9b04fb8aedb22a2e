package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Snapshot is the immutable configuration at one version. The zero value is an empty configuration at
// version 0.
type Snapshot struct {
	version       int64
	entities      map[EntityID]Entity
	organisations map[string]Organisation
	keys          map[string]Key
	keysByDigest  map[string]string
	profiles      map[string]Profile
	services      map[string]Service
	models        map[string]Model
	dataCentres   map[string]DataCentre
}

// Digest returns the SHA-256 digest of an API key in lower-case hex, the form in which keys are stored.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Version returns the version of the newest change included in the snapshot.
func (s *Snapshot) Version() int64 { return s.version }

// Apply returns a copy of the snapshot with the entities merged in and at least the given version. An entity
// that is not newer than the existing one is ignored, and the version never decreases. It returns an error if
// an entity is of an unknown kind or cannot be decoded.
func (s *Snapshot) Apply(version int64, entities []Entity) (*Snapshot, error) {
	next := s.clone()
	for _, e := range entities {
		if old, ok := next.entities[e.ID()]; ok && old.Version >= e.Version {
			continue
		}
		if err := next.set(e); err != nil {
			return nil, fmt.Errorf("apply %s %q at version %d: %w", e.Kind, e.Name, e.Version, err)
		}
	}
	next.version = max(next.version, version)
	return next, nil
}

func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		version:       s.version,
		entities:      cloneMap(s.entities),
		organisations: cloneMap(s.organisations),
		keys:          cloneMap(s.keys),
		keysByDigest:  cloneMap(s.keysByDigest),
		profiles:      cloneMap(s.profiles),
		services:      cloneMap(s.services),
		models:        cloneMap(s.models),
		dataCentres:   cloneMap(s.dataCentres),
	}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

func (s *Snapshot) set(e Entity) error {
	var err error
	switch e.Kind {
	case KindOrganisation:
		err = setEntity(s.organisations, e)
	case KindKey:
		err = s.setKey(e)
	case KindProfile:
		err = setEntity(s.profiles, e)
	case KindService:
		err = setEntity(s.services, e)
	case KindModel:
		err = setEntity(s.models, e)
	case KindDataCentre:
		err = setEntity(s.dataCentres, e)
	default:
		err = fmt.Errorf("unknown kind")
	}
	if err != nil {
		return err
	}
	s.entities[e.ID()] = e
	return nil
}

func (s *Snapshot) setKey(e Entity) error {
	if old, ok := s.keys[e.Name]; ok && s.keysByDigest[old.Digest] == e.Name {
		delete(s.keysByDigest, old.Digest)
	}
	if err := setEntity(s.keys, e); err != nil {
		return err
	}
	if key, ok := s.keys[e.Name]; ok {
		s.keysByDigest[key.Digest] = key.ID
	}
	return nil
}

func setEntity[V any](m map[string]V, e Entity) error {
	if e.Deleted {
		delete(m, e.Name)
		return nil
	}
	var v V
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	m[e.Name] = v
	return nil
}

// FindKey returns the key whose digest matches the API key secret. It also returns withdrawn keys; the caller
// must check Key.Withdrawn.
func (s *Snapshot) FindKey(secret string) (Key, bool) {
	digest := Digest(secret)
	key, ok := s.keys[s.keysByDigest[digest]]
	if !ok || subtle.ConstantTimeCompare([]byte(key.Digest), []byte(digest)) != 1 {
		return Key{}, false
	}
	return key, true
}

// Organisation returns the organisation with the given name.
func (s *Snapshot) Organisation(name string) (Organisation, bool) {
	v, ok := s.organisations[name]
	return v, ok
}

// Key returns the key with the given ID.
func (s *Snapshot) Key(id string) (Key, bool) { v, ok := s.keys[id]; return v, ok }

// Profile returns the profile with the given name.
func (s *Snapshot) Profile(name string) (Profile, bool) { v, ok := s.profiles[name]; return v, ok }

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (Service, bool) { v, ok := s.services[name]; return v, ok }

// Model returns the model with the given name.
func (s *Snapshot) Model(name string) (Model, bool) { v, ok := s.models[name]; return v, ok }

// DataCentre returns the data centre with the given name.
func (s *Snapshot) DataCentre(name string) (DataCentre, bool) {
	v, ok := s.dataCentres[name]
	return v, ok
}

// Models returns all models, sorted by name.
func (s *Snapshot) Models() []Model { return sorted(s.models) }

// Organisations returns all organisations, sorted by name.
func (s *Snapshot) Organisations() []Organisation { return sorted(s.organisations) }

// Profiles returns all profiles, sorted by name.
func (s *Snapshot) Profiles() []Profile { return sorted(s.profiles) }

// Services returns all services, sorted by name.
func (s *Snapshot) Services() []Service { return sorted(s.services) }

// DataCentres returns all data centres, sorted by name.
func (s *Snapshot) DataCentres() []DataCentre { return sorted(s.dataCentres) }

// Keys returns all keys, sorted by ID.
func (s *Snapshot) Keys() []Key { return sorted(s.keys) }

func sorted[V any](m map[string]V) []V {
	names := slices.Sorted(maps.Keys(m))
	values := make([]V, 0, len(names))
	for _, name := range names {
		values = append(values, m[name])
	}
	return values
}

// Entity returns the versioned entity with the given ID, including a deleted one.
func (s *Snapshot) Entity(id EntityID) (Entity, bool) { e, ok := s.entities[id]; return e, ok }

// Since returns the entities changed after version, deleted ones included, ordered by version. It is used to
// build the delta for a peer.
func (s *Snapshot) Since(version int64) []Entity {
	var entities []Entity
	for _, e := range s.entities {
		if e.Version > version {
			entities = append(entities, e)
		}
	}
	slices.SortFunc(entities, func(a, b Entity) int { return int(a.Version - b.Version) })
	return entities
}
