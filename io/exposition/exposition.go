// Package exposition serves metrics in the Prometheus text format.
package exposition

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// NewHandler returns a handler that serves the metrics of a registry in the Prometheus text
// format, version 0.0.4. Names get the prefix "gorseline_", and characters that names of the format can't
// hold, such as dots and hyphens, become underscores. Metrics other than counters, gauges and histograms are left out.
func NewHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		var b strings.Builder
		registry.Each(func(name string, metric any) { writeMetric(&b, "gorseline_"+metricName(name), metric) })
		_, _ = w.Write([]byte(b.String()))
	})
}

// metricName returns a name of the format. Organisations may have any name.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		if r == ':' || r >= '0' && r <= '9' || r >= 'A' && r <= 'Z' || r >= 'a' && r <= 'z' {
			return r
		}
		return '_'
	}, name)
}

func writeMetric(b *strings.Builder, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		fmt.Fprintf(b, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(b, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(b, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		fmt.Fprintf(b, "# TYPE %s summary\n", name)
		for _, q := range [...]float64{0.5, 0.95, 0.99} {
			fmt.Fprintf(b, "%s{quantile=\"%g\"} %g\n", name, q, s.Percentile(q))
		}
		fmt.Fprintf(b, "%s_count %d\n", name, s.Count())
	}
}
