package timeline

import (
	"strconv"
	"strings"
	"time"
)

// Inputs builds the Detail of an event from the inputs of a decision, such as
// `Kind=ClerkQuery Remaining=1800.0ms`. Values that contain a space, an equals sign, a
// quote or a newline are quoted. Inputs of up to 192 bytes need one allocation, that of
// the resulting string.
type Inputs struct {
	inline [192]byte
	size   int
	// heap replaces inline when the inputs exceed it; it is nil before.
	heap []byte
}

// begin appends a separator and the name; the caller appends the value and calls end.
func (i *Inputs) begin(name string) []byte {
	b := i.inline[:i.size]
	if i.heap != nil {
		b = i.heap
	}
	if len(b) > 0 {
		b = append(b, ' ')
	}
	b = append(b, name...)
	return append(b, '=')
}

// end stores the buffer that begin returned, with the value appended.
func (i *Inputs) end(b []byte) *Inputs {
	if i.heap == nil && len(b) <= len(i.inline) {
		i.size = len(b)
		return i
	}
	// b may point into inline, so storing b itself would make i escape to the heap.
	i.heap = append([]byte(nil), b...)
	return i
}

// Text adds a string; an empty one is omitted.
func (i *Inputs) Text(name, value string) *Inputs {
	if value == "" {
		return i
	}
	b := i.begin(name)
	if strings.ContainsAny(value, " =\"\n") {
		return i.end(strconv.AppendQuote(b, value))
	}
	return i.end(append(b, value...))
}

// Int adds an integer.
func (i *Inputs) Int(name string, value int64) *Inputs {
	return i.end(strconv.AppendInt(i.begin(name), value, 10))
}

// Float adds a number with three significant digits.
func (i *Inputs) Float(name string, value float64) *Inputs {
	return i.end(strconv.AppendFloat(i.begin(name), value, 'g', 3, 64))
}

// Bool adds a boolean.
func (i *Inputs) Bool(name string, value bool) *Inputs {
	return i.end(strconv.AppendBool(i.begin(name), value))
}

// Duration adds a duration in milliseconds, truncated to one decimal.
func (i *Inputs) Duration(name string, value time.Duration) *Inputs {
	b := i.begin(name)
	if value < 0 {
		b, value = append(b, '-'), -value
	}
	tenths := int64(value / (100 * time.Microsecond))
	b = append(strconv.AppendInt(b, tenths/10, 10), '.', byte('0'+tenths%10))
	return i.end(append(b, "ms"...))
}

// String returns the text for core.Event.Detail.
func (i *Inputs) String() string {
	if i.heap != nil {
		return string(i.heap)
	}
	return string(i.inline[:i.size])
}

// ParseInputs returns the values in the text of an event's Detail by name. It skips text
// that doesn't have the form name=value.
func ParseInputs(detail string) map[string]string {
	values := map[string]string{}
	for detail = strings.TrimLeft(detail, " "); detail != ""; detail = strings.TrimLeft(detail, " ") {
		name, rest, found := strings.Cut(detail, "=")
		if !found {
			break
		}
		if space := strings.LastIndexByte(name, ' '); space >= 0 {
			name = name[space+1:]
		}
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			values[name], _ = strconv.Unquote(quoted) // QuotedPrefix has validated it
			detail = rest[len(quoted):]
			continue
		}
		values[name], detail, _ = strings.Cut(rest, " ")
	}
	return values
}
