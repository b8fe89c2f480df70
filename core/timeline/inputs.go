package timeline

import (
	"strconv"
	"strings"
	"time"
)

// Inputs builds the detail of an event from the values that a decision was made on,
// such as `Kind=ClerkQuery Remaining=1.8s`. Values with spaces are quoted. It makes
// one allocation for inputs of up to 192 bytes.
type Inputs struct {
	text  [192]byte
	size  int
	spill []byte
}

func (i *Inputs) begin(name string) []byte {
	b := i.text[:i.size]
	if i.spill != nil {
		b = i.spill
	}
	if len(b) > 0 {
		b = append(b, ' ')
	}
	b = append(b, name...)
	return append(b, '=')
}

func (i *Inputs) end(b []byte) *Inputs {
	if i.spill == nil && len(b) <= len(i.text) {
		i.size = len(b)
		return i
	}
	// A copy keeps the inputs off the heap: b may point into them.
	i.spill = append([]byte(nil), b...)
	return i
}

// Text adds a text; an empty one is left out.
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

// Bool adds a truth value.
func (i *Inputs) Bool(name string, value bool) *Inputs {
	return i.end(strconv.AppendBool(i.begin(name), value))
}

// Duration adds a duration in milliseconds with one decimal, which is not rounded.
func (i *Inputs) Duration(name string, value time.Duration) *Inputs {
	b := i.begin(name)
	if value < 0 {
		b, value = append(b, '-'), -value
	}
	tenths := int64(value / (100 * time.Microsecond))
	b = append(strconv.AppendInt(b, tenths/10, 10), '.', byte('0'+tenths%10))
	return i.end(append(b, "ms"...))
}

// String returns the detail.
func (i *Inputs) String() string {
	if i.spill != nil {
		return string(i.spill)
	}
	return string(i.text[:i.size])
}

// ParseInputs returns the values of a detail by name. Parts that are not of the form
// that Inputs builds are left out.
func ParseInputs(detail string) map[string]string {
	values := map[string]string{}
	for detail = strings.TrimLeft(detail, " "); detail != ""; detail = strings.TrimLeft(detail, " ") {
		name, rest, found := strings.Cut(detail, "=")
		if !found {
			break
		}
		if at := strings.LastIndexByte(name, ' '); at >= 0 {
			name = name[at+1:]
		}
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			values[name], _ = strconv.Unquote(quoted) // QuotedPrefix has checked it
			detail = rest[len(quoted):]
			continue
		}
		values[name], detail, _ = strings.Cut(rest, " ")
	}
	return values
}
