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

// kindNames lists the kinds of entities with their names on the command line.
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

// newEntityValue returns a pointer to an empty value of the kind and the JSON name of the field that holds its name.
func newEntityValue(kind config.Kind) (value any, nameField string) {
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

// Assign returns the entity of the given kind and name with the fields of base, a JSON object, and the assignments
// "field=value" applied to them. The items of a list are separated by commas. An unknown field or a value of the wrong type
// is an error.
func Assign(kind config.Kind, name string, base json.RawMessage, assignments []string) (config.Entity, error) {
	value, nameField := newEntityValue(kind)
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
		return "boolean (true or false)"
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

// Bundle is the complete configuration in a file.
type Bundle struct {
	Organisations []config.Organisation `json:"organisations"`
	Profiles      []config.Profile      `json:"profiles"`
	DataCentres   []config.DataCentre   `json:"data_centres"`
	Services      []config.Service      `json:"services"`
	Models        []config.Model        `json:"models"`
	Keys          []config.Key          `json:"keys"` // with the digests of the secrets, not the secrets
}

// ParseBundle decodes a bundle from YAML or JSON. An unknown field is an error.
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

// Entities returns the entities in an order in which an entity refers only to those before it.
func (b Bundle) Entities() ([]config.Entity, error) {
	var values []any
	values = appendAll(values, b.Organisations)
	values = appendAll(values, b.Profiles)
	values = appendAll(values, b.DataCentres)
	values = appendAll(values, b.Services)
	values = appendAll(values, filterModels(b.Models, true))
	values = appendAll(values, filterModels(b.Models, false))
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

// filterModels returns the base models if base is true, and the adapters otherwise.
func filterModels(models []config.Model, base bool) []config.Model {
	var found []config.Model
	for _, m := range models {
		if m.Adapter() != base {
			found = append(found, m)
		}
	}
	return found
}

// readFile returns the content of a file of at most maxFileBytes.
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
