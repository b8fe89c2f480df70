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

// Problems lists all validation errors of a document.
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

// err returns the problems sorted by path, or nil if there are none.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortFunc(p, func(a, b *core.InvalidValueError) int { return strings.Compare(a.Path, b.Path) })
	return p
}

// DefaultPreset returns the values of the fields that a preset document omits.
func DefaultPreset() core.Preset {
	return core.Preset{
		RoleChangePrice: 1,
		MinimumStay:     time.Minute,
		UrgentShare:     0.1,
		RetryBudget:     0.1,
	}
}

// DefaultKind returns the values of the fields that a kind document omits. A kind is not
// repeatable unless its document says so, because an omitted field must not make a call
// such as a posting run twice.
func DefaultKind() core.Kind {
	return core.Kind{Weight: 1, Deadline: time.Minute, OutputTokens: 256}
}

// defaults holds initial values by type, which decoded fields overwrite.
var defaults = map[reflect.Type]any{
	reflect.TypeFor[core.Preset](): DefaultPreset(),
	reflect.TypeFor[core.Kind]():   DefaultKind(),
}

// Decode decodes a JSON document over the defaults of its type. Durations are strings such
// as "1m30s" or integers in nanoseconds. The error is of type Problems and lists unknown
// fields and values of the wrong type, each with the path of the field prefixed by path.
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
			problems.add(joinPath(path, name), "unknown field", names...)
			continue
		}
		decodeInto(value, v.FieldByName(name), joinPath(path, name), problems)
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
		decodeInto(value, element, joinPath(path, name), problems)
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

// decodeLeaf decodes data into v with encoding/json and reports whether it succeeded.
func decodeLeaf(data []byte, v reflect.Value, path string, problems *Problems) bool {
	if err := json.Unmarshal(data, v.Addr().Interface()); err != nil {
		problems.add(path, truncate(string(data)), describeType(v.Type()))
		return false
	}
	return true
}

func describeType(t reflect.Type) string {
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

// truncate limits the length of document text that is quoted in an error.
func truncate(s string) string {
	const limit = 60
	if len(s) > limit {
		return s[:limit] + "..."
	}
	return s
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
