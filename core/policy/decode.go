package policy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"time"

	"gorseline/core"
)

// decode overwrites the defaults with the fields of raw and validates the result. Field
// names are case-sensitive; unknown fields and null are rejected.
func decode[P parameters](path string, raw json.RawMessage, defaults P) (P, error) {
	result := defaults
	if len(bytes.TrimSpace(raw)) > 0 {
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(raw, &fields); err != nil {
			return defaults, &core.InvalidValueError{Path: path, Value: string(raw), Accepted: []string{"a JSON object"}}
		}
		if err := assign(path, reflect.ValueOf(&result).Elem(), fields); err != nil {
			return defaults, err
		}
	}
	if err := result.validate(path); err != nil {
		return defaults, err
	}
	return result, nil
}

// assign decodes each raw field into the field of destination with the same name.
func assign(path string, destination reflect.Value, fields map[string]json.RawMessage) error {
	accepted := fieldNames(destination.Type())
	for _, name := range sortedKeys(fields) {
		if !slices.Contains(accepted, name) {
			return &core.InvalidValueError{Path: path + "." + name, Value: name, Accepted: accepted}
		}
		text := bytes.TrimSpace(fields[name])
		field := destination.FieldByName(name)
		decoded := reflect.New(field.Type())
		if err := json.Unmarshal(text, decoded.Interface()); err != nil || string(text) == "null" {
			return &core.InvalidValueError{
				Path:     path + "." + name,
				Value:    string(text),
				Accepted: []string{describeType(field.Type())},
			}
		}
		field.Set(decoded.Elem())
	}
	return nil
}

// fieldNames returns the names of the exported fields, including promoted ones.
func fieldNames(t reflect.Type) []string {
	names := []string{}
	for _, field := range reflect.VisibleFields(t) {
		if field.IsExported() && !field.Anonymous {
			names = append(names, field.Name)
		}
	}
	return names
}

func sortedKeys(fields map[string]json.RawMessage) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// describeType returns the accepted form of a field of type t for error messages.
func describeType(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return `a duration such as "250ms"`
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Int:
		return "an integer"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Map:
		return "an object with integer values"
	}
	return t.String()
}

// Duration is a time.Duration that is encoded as text, such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// validateRange returns an error unless low ≤ value ≤ high.
func validateRange[N int | float64](path, field string, value, low, high N) error {
	if value >= low && value <= high {
		return nil
	}
	return &core.InvalidValueError{
		Path:     path + "." + field,
		Value:    fmt.Sprint(value),
		Accepted: []string{fmt.Sprintf("%v to %v", low, high)},
	}
}

// validateLimits returns an error unless every limit in values is at least 1.
func validateLimits[K ~string](path, field string, values map[K]int) error {
	for key, value := range values {
		if value < 1 {
			return &core.InvalidValueError{
				Path:     path + "." + field + "." + string(key),
				Value:    strconv.Itoa(value),
				Accepted: []string{"1 or more"},
			}
		}
	}
	return nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
