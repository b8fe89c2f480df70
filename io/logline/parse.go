package logline

import (
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is a parsed log line.
type Line struct {
	Time     time.Time
	Instance string
	Level    string
	Event    string
	// Fields holds the other fields in the order of the line.
	Fields []Field
}

// Field is a name and an unquoted value.
type Field struct{ Name, Value string }

// Get returns the value of a field, or "" if the line has none of that name.
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// timeKey starts a line of this package. Text before it, such as the prefix of a log
// collector, is skipped.
const timeKey = "Time="

// Parse parses a line. It returns false if the line was not written by a Writer.
func Parse(text string) (Line, bool) {
	start := strings.Index(text, timeKey)
	if start < 0 {
		return Line{}, false
	}
	var l Line
	decoder := logfmt.NewDecoder(strings.NewReader(text[start:]))
	if !decoder.ScanRecord() {
		return Line{}, false
	}
	for decoder.ScanKeyval() {
		name, value := string(decoder.Key()), string(decoder.Value())
		switch name {
		case "Time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			l.Time = at
		case "Instance":
			l.Instance = value
		case "Level":
			l.Level = value
		case "Event":
			l.Event = value
		default:
			l.Fields = append(l.Fields, Field{name, value})
		}
	}
	return l, decoder.Err() == nil && l.Event != ""
}
