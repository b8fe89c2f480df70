package node

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
)

// Guards against a metric that is missing in docs/ENTRY-METRICS.md.
func TestMetricsPageListsAllMetrics(t *testing.T) {
	page, err := os.ReadFile("../../../docs/ENTRY-METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var listed []*regexp.Regexp
	placeholder := regexp.MustCompile(`<[A-Za-z]+>`)
	for _, match := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllSubmatch(page, -1) {
		pattern := placeholder.ReplaceAllString(strings.ReplaceAll(string(match[1]), ".", `\.`), `[A-Za-z]+`)
		listed = append(listed, regexp.MustCompile("^"+pattern+"$"))
	}
	s := newSite(t)
	i := s.start("n1")
	i.call(t, "/once/x", "r1")
	i.call(t, "/none/x", "r2")
	i.call(t, "/stream/x", "r3", "X-Model", "m", "X-Token-Count", "5000,8", "X-Prompt-Prefix", "ab:4000,cd:1000")
	served := 0
	i.registry.Each(func(name string, _ any) {
		served++
		for _, pattern := range listed {
			if pattern.MatchString(name) {
				return
			}
		}
		t.Errorf("%s is served but not listed", name)
	})
	if served < 12 {
		t.Errorf("%d metrics served", served)
	}
}

// Guards against a metrics endpoint that doesn't serve the metrics.
func TestMetricsAreServed(t *testing.T) {
	s := newSite(t)
	i := s.start("n1")
	i.call(t, "/once/x", "r1")
	resp, err := http.Get("http://" + i.metricsAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(text), "gorseline_Forwarded_Once_Done 1") {
		t.Errorf("error %v, text %.300s", err, text)
	}
}
