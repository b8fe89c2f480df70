package duty

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"gorseline/core"
)

// ReportKey is the key of the row that holds the fixed reports.
const ReportKey = "Usage/Report"

// maxReports is the number of reports in the row. 12 windows of 5 s are 60 s, six times as long as a
// report may be sent, so a report that has left the row is never sent or fixed again.
const maxReports = 12

// ReportState is the state of a fixed report.
type ReportState string

// States of fixed reports.
const (
	// ReportFixed means that the platform may or may not have the report.
	ReportFixed ReportState = "Fixed"
	// ReportAccepted means that the platform has confirmed the report.
	ReportAccepted ReportState = "Accepted"
)

// Report is a fixed report. Its counts never change.
type Report struct {
	Window uint64
	Counts map[core.Organisation]int
	// Fence is that of the holder that fixed the report.
	Fence core.Fence
	State ReportState
}

// reportRow is the value of the row ReportKey.
type reportRow struct {
	// Era is the era of the table that the writer knew. Windows before EraFrom ended before that era was
	// seen; they are fixed only if Reports has them.
	Era     uint64 `json:",omitempty"`
	EraFrom uint64 `json:",omitempty"`
	// Reports holds the latest reports by ascending window.
	Reports []Report
}

// decodeRow returns the value of a row, or an empty one if the row is absent. The error says that the
// row can't be decoded.
func decodeRow(row core.Row) (reportRow, error) {
	var value reportRow
	if row.Version == 0 {
		return value, nil
	}
	err := json.Unmarshal(row.Value, &value)
	return value, errors.Wrapf(err, "duty: row %s", row.Key)
}

// encode returns the row as JSON. It panics on values that JSON can't encode; the row holds none.
func (r reportRow) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("duty: encode row: %v", err))
	}
	return data
}

// latestReports returns the latest maxReports reports by ascending window.
func latestReports(byWindow map[uint64]Report) []Report {
	windows := slices.Sorted(maps.Keys(byWindow))
	windows = windows[max(0, len(windows)-maxReports):]
	reports := make([]Report, len(windows))
	for i, w := range windows {
		reports[i] = byWindow[w]
	}
	return reports
}
