package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/pomelowheel/pomelowheel/internal/config"
)

const maxFileBytes = 4 << 20

// kindNames maps the command words to the kinds of entities.
var kindNames = []struct {
	word string
	kind config.Kind
}{
	{"profile", config.KindProfile},
	{"key", config.KindKey},
	{"organisation", config.KindOrganisation},
	{"service", config.KindService},
	{"model", config.KindModel},
	{"datacentre", config.KindDataCentre},
}

// blank returns a pointer to an empty value of the kind and the JSON name of its naming field.
func blank(kind config.Kind) (value any, nameField string) {
	switch kind {
	case config.KindOrganisation:
		return new(config.Organisation), "name"
	case config.KindKey:
		return new(config.Key), "id"
	case config.KindProfile:
		return new(config.Profile), "name"
	case config.KindService:
		return new(config.Service), "name"
	case config.KindModel:
		return new(config.Model), "name"
	default:
		return new(config.DataCentre), "name"
	}
}

// fieldTypes returns the Go type of each field by its JSON name.
func fieldTypes(value any) map[string]reflect.Type {
	types := make(map[string]reflect.Type)
	t := reflect.TypeOf(value).Elem()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		types[name] = t.Field(i).Type
	}
	return types
}

// Assign returns the entity named name of a kind: base with the assignments "field=value" applied. A list
// is written with commas. Unknown fields and values of another type are refused.
func Assign(kind config.Kind, name string, base json.RawMessage, assignments []string) (config.Entity, error) {
	value, nameField := blank(kind)
	fields := make(map[string]json.RawMessage)
	if len(base) > 0 {
		if err := json.Unmarshal(base, &fields); err != nil {
			return config.Entity{}, fmt.Errorf("decode %s %q: %w", kind, name, err)
		}
	}
	types := fieldTypes(value)
	for _, a := range assignments {
		field, text, ok := strings.Cut(a, "=")
		t, known := types[field]
		if !ok || !known || field == nameField {
			return config.Entity{}, usagef("%q: expected field=value with a field of a %s", a, kind)
		}
		raw, err := encodeField(t, text)
		if err != nil {
			return config.Entity{}, usagef("%q: expected a %s", a, typeName(t))
		}
		fields[field] = raw
	}
	raw, err := json.Marshal(name)
	if err != nil {
		return config.Entity{}, fmt.Errorf("encode name: %w", err)
	}
	fields[nameField] = raw
	if raw, err = json.Marshal(fields); err != nil {
		return config.Entity{}, fmt.Errorf("encode %s: %w", kind, err)
	}
	if err := decodeStrict(raw, value); err != nil {
		return config.Entity{}, usagef("%s %q: %v", kind, name, err)
	}
	return config.NewEntity(reflect.ValueOf(value).Elem().Interface())
}

func encodeField(t reflect.Type, text string) (json.RawMessage, error) {
	switch t.Kind() {
	case reflect.String:
		return json.Marshal(text)
	case reflect.Slice:
		return json.Marshal(splitList(text))
	}
	value := reflect.New(t)
	if err := json.Unmarshal([]byte(text), value.Interface()); err != nil {
		return nil, err
	}
	if strings.TrimSpace(text) == "null" {
		return nil, fmt.Errorf("null is not a value")
	}
	return json.RawMessage(text), nil
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "truth value (true or false)"
	case reflect.Float64:
		return "number"
	default:
		return "whole number"
	}
}

func decodeStrict(raw []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// Bundle is a whole configuration in a file.
type Bundle struct {
	Organisations []config.Organisation `json:"organisations"`
	Profiles      []config.Profile      `json:"profiles"`
	DataCentres   []config.DataCentre   `json:"data_centres"`
	Services      []config.Service      `json:"services"`
	Models        []config.Model        `json:"models"`
	Keys          []config.Key          `json:"keys"` // digests only
}

// ParseBundle decodes a bundle from YAML or JSON. Unknown fields are refused.
func ParseBundle(source []byte) (Bundle, error) {
	var b Bundle
	raw, err := yaml.YAMLToJSON(source)
	if err != nil {
		return b, fmt.Errorf("decode bundle: %w", err)
	}
	if err := decodeStrict(raw, &b); err != nil {
		return b, fmt.Errorf("decode bundle: %w", err)
	}
	return b, nil
}

// Entities returns the entities in the order in which later ones refer to earlier ones.
func (b Bundle) Entities() ([]config.Entity, error) {
	var values []any
	values = appendAll(values, b.Organisations)
	values = appendAll(values, b.Profiles)
	values = appendAll(values, b.DataCentres)
	values = appendAll(values, b.Services)
	values = appendAll(values, baseModels(b.Models, true))
	values = appendAll(values, baseModels(b.Models, false))
	values = appendAll(values, b.Keys)
	entities := make([]config.Entity, 0, len(values))
	for _, v := range values {
		e, err := config.NewEntity(v)
		if err != nil {
			return nil, err
		}
		entities = append(entities, e)
	}
	return entities, nil
}

func appendAll[T any](values []any, more []T) []any {
	for _, v := range more {
		values = append(values, v)
	}
	return values
}

func baseModels(models []config.Model, base bool) []config.Model {
	var found []config.Model
	for _, m := range models {
		if m.Adapter() != base {
			found = append(found, m)
		}
	}
	return found
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, usagef("%v", err)
	}
	defer func() { _ = file.Close() }()
	source, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, usagef("read %s: %v", path, err)
	}
	if len(source) > maxFileBytes {
		return nil, usagef("%s is larger than %d bytes", path, maxFileBytes)
	}
	return source, nil
}
