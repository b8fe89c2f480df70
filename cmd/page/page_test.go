package page_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gorseline/cmd/page"
	"gorseline/core"
)

// Guards against a page that loads resources from the network, executes script text from an
// operation key that a caller chose, or omits the reason or the inputs of an event.
func TestPageIsSelfContained(t *testing.T) {
	var b bytes.Buffer
	err := page.Write(&b, []core.Event{
		{At: core.Timestamp{Wall: time.Hour}, Instance: "entry-1", Kind: "RequestRefused", Reason: "DeadlineUnreachable", Detail: "Remaining=1800.0ms"},
		{At: core.Timestamp{Wall: 2 * time.Hour}, Instance: "entry-2", Kind: "OperationClaimed", Detail: `</script><script>alert(1)</script>`},
	}, "2 events were lost")
	if err != nil {
		t.Fatal(err)
	}
	text := b.String()
	for _, want := range []string{"DeadlineUnreachable", "Remaining=1800.0ms", "entry-1", "entry-2", "2 events were lost", "01:00:00.000"} {
		if !strings.Contains(text, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, bad := range []string{"http://", "https://", "src=", "</script><script>alert"} {
		if strings.Contains(text, bad) {
			t.Errorf("the page contains %q", bad)
		}
	}
}

// Guards against an error when no event matches the query.
func TestEmptyPage(t *testing.T) {
	if err := page.Write(&bytes.Buffer{}, nil, ""); err != nil {
		t.Error(err)
	}
}
