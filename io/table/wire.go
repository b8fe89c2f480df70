package table

import "gorseline/core"

// Paths of the table service. Every call is a POST with a JSON body.
const (
	PathRead     = "/table/read"
	PathScan     = "/table/scan"
	PathTransact = "/table/transact"
)

// MaxBodyBytes bounds a request and an answer. A full batch of 64 rows with values of 16 KB
// takes 1.4 MB in base64.
const MaxBodyBytes = 8 << 20

// ReadRequest asks for rows by key.
type ReadRequest struct{ Keys []string }

// ScanRequest asks for up to Limit rows that start with Prefix and follow After.
type ScanRequest struct {
	Prefix string
	After  string
	Limit  int
}

// RowsAnswer holds the rows of a read or a scan.
type RowsAnswer struct{ Rows []core.Row }

// TransactRequest asks for one transaction.
type TransactRequest struct {
	Attempt core.AttemptID
	Writes  []core.Write
}

// TransactAnswer is the result of a transaction that the service ran. If the service
// refuses a call before running it, it answers 503 without a TransactAnswer.
type TransactAnswer struct {
	Committed bool
	Versions  []uint64
	Conflicts []core.Row
}
