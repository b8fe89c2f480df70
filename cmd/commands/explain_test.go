package commands

import (
	"bytes"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against stories of requests that leave out a decision or its inputs. The log is
// from a played day; docs/OPERATIONS.md explains the same requests.
func TestExplain(t *testing.T) {
	tests := map[string][]string{
		"explain-refused":  {"--request", "0cb09237f9ca5f89"},
		"explain-doubtful": {"--request", "d9b9cc4deb38bc09", "--around"},
		"explain-cut":      {"--request", "840128ae62265a53"},
		"explain-retried":  {"--request", "be6f818f2aa5c267"},
		"explain-summary":  nil,
	}
	for name, args := range tests {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			code := run(append(append([]string{"explain"}, args...), "testdata/entry.log"), terminal{out: &out, err: &errs})
			if code != exitOK || errs.Len() > 0 {
				t.Fatalf("exit code %d: %s", code, errs.String())
			}
			goldie.New(t).Assert(t, name, out.Bytes())
		})
	}
}

// Guards against an empty story that looks like a request without events.
func TestExplainUnknownRequest(t *testing.T) {
	log, err := os.Open("testdata/entry.log")
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	var out, errs bytes.Buffer
	if code := run([]string{"explain", "--request", "none"}, terminal{out: &out, err: &errs, in: log}); code != exitFailed {
		t.Errorf("exit code %d", code)
	}
}
