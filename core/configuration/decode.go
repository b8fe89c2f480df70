package configuration

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"gorseline/core"
)

// Problems lists everything that is wrong with a document.
type Problems []*core.InvalidValueError

// Error lists all problems, separated by semicolons.
func (p Problems) Error() string {
	texts := make([]string, len(p))
	for i, problem := range p {
		texts[i] = problem.Error()
	}
	return strings.Join(texts, "; ")
}

func (p *Problems) add(path, value string, accepted ...string) {
	*p = append(*p, &core.InvalidValueError{Path: path, Value: value, Accepted: accepted})
}

// err returns nil when there is no problem.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortFunc(p, func(a, b *core.InvalidValueError) int { return strings.Compare(a.Path, b.Path) })
	return p
}

// DefaultPreset returns the values of a preset that a document leaves out.
func DefaultPreset() core.Preset {
	return core.Preset{
		RoleChangePrice: 1,
		MinimumStay:     time.Minute,
		UrgentShare:     0.1,
		RetryBudget:     0.1,
	}
}

// DefaultKind returns the values of a kind that a document leaves out. A kind that does
// not say that it is repeatable runs at most once: a forgotten field must not double a
// posting.
func DefaultKind() core.Kind {
	return core.Kind{Weight: 1, Deadline: time.Minute, OutputTokens: 256}
}

// defaults fills values of these types before their fields are decoded.
var defaults = map[reflect.Type]any{
	reflect.TypeFor[core.Preset](): DefaultPreset(),
	reflect.TypeFor[core.Kind]():   DefaultKind(),
}

// Decode decodes a JSON document over the defaults of its type. Unknown fields
// and values of the wrong type are errors that name the path of the field below
// path. Durations are strings such as "1m30s" or nanoseconds.
func Decode[T any](data []byte, path string) (T, error) {
	var value T
	var problems Problems
	decodeInto(data, reflect.ValueOf(&value).Elem(), path, &problems)
	return value, problems.err()
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	rawType      = reflect.TypeFor[json.RawMessage]()
)

func decodeInto(data []byte, v reflect.Value, path string, problems *Problems) {
	if value, ok := defaults[v.Type()]; ok && v.IsZero() {
		v.Set(reflect.ValueOf(value))
	}
	_, isText := v.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case v.Type() == durationType:
		decodeDuration(data, v, path, problems)
	case v.Type() == rawType:
		decodeLeaf(data, v, path, problems)
	case isText:
		decodeText(data, v, path, problems)
	case v.Kind() == reflect.Struct:
		decodeStruct(data, v, path, problems)
	case v.Kind() == reflect.Map:
		decodeMap(data, v, path, problems)
	case v.Kind() == reflect.Slice:
		decodeSlice(data, v, path, problems)
	default:
		decodeLeaf(data, v, path, problems)
	}
}

func decodeStruct(data []byte, v reflect.Value, path string, problems *Problems) {
	var fields map[string]json.RawMessage
	if !decodeLeaf(data, reflect.ValueOf(&fields).Elem(), path, problems) {
		return
	}
	var names []string
	for _, field := range reflect.VisibleFields(v.Type()) {
		names = append(names, field.Name)
	}
	for name, value := range fields {
		if !slices.Contains(names, name) {
			problems.add(join(path, name), "unknown field", names...)
			continue
		}
		decodeInto(value, v.FieldByName(name), join(path, name), problems)
	}
}

func decodeMap(data []byte, v reflect.Value, path string, problems *Problems) {
	var entries map[string]json.RawMessage
	if !decodeLeaf(data, reflect.ValueOf(&entries).Elem(), path, problems) {
		return
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(entries)))
	for name, value := range entries {
		element := reflect.New(v.Type().Elem()).Elem()
		decodeInto(value, element, join(path, name), problems)
		v.SetMapIndex(reflect.ValueOf(name).Convert(v.Type().Key()), element)
	}
}

func decodeSlice(data []byte, v reflect.Value, path string, problems *Problems) {
	var entries []json.RawMessage
	if !decodeLeaf(data, reflect.ValueOf(&entries).Elem(), path, problems) {
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(entries), len(entries)))
	for i, value := range entries {
		decodeInto(value, v.Index(i), fmt.Sprintf("%s[%d]", path, i), problems)
	}
}

func decodeText(data []byte, v reflect.Value, path string, problems *Problems) {
	var text string
	if !decodeLeaf(data, reflect.ValueOf(&text).Elem(), path, problems) {
		return
	}
	err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text))
	if err != nil {
		addError(problems, path, text, err)
	}
}

func decodeDuration(data []byte, v reflect.Value, path string, problems *Problems) {
	if !bytes.HasPrefix(data, []byte(`"`)) {
		decodeLeaf(data, v, path, problems)
		return
	}
	var text string
	if !decodeLeaf(data, reflect.ValueOf(&text).Elem(), path, problems) {
		return
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		problems.add(path, text, `a duration such as "1m30s"`)
		return
	}
	v.SetInt(int64(d))
}

// decodeLeaf decodes data into v and reports whether that was possible.
func decodeLeaf(data []byte, v reflect.Value, path string, problems *Problems) bool {
	if err := json.Unmarshal(data, v.Addr().Interface()); err != nil {
		problems.add(path, shorten(string(data)), typeName(v.Type()))
		return false
	}
	return true
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "an integer"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a JSON array"
	default:
		return "a JSON object"
	}
}

// shorten bounds what an error repeats of a document.
func shorten(s string) string {
	const limit = 60
	if len(s) > limit {
		return s[:limit] + "..."
	}
	return s
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
