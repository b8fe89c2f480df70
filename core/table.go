package core

import "context"

// Row is one row of the table service. Version 0 means that the row is absent.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
	// Era is the era of the table in which the row was read, also if it is absent.
	Era uint64
}

// EraVersions is the number of versions of one era. A table that comes back from an older copy
// begins a new era, in which it gives out numbers again. Versions include the era, so that those
// of a later era are greater than all before, and numbers of two eras are never taken for the
// same version.
const EraVersions = 1_000_000_000_000

// VersionInEra returns the version for a number that the table gave out in an era.
func VersionInEra(era, number uint64) uint64 { return era*EraVersions + number }

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version / EraVersions }

// AnyVersion makes a write unconditional when it is set in Write.Expected.
const AnyVersion = ^uint64(0)

// Write is one write of a transaction. The transaction commits only if each row
// has the expected version; Expected 0 requires that the row is absent.
type Write struct {
	Key      string
	Value    []byte
	Expected uint64
	// CheckOnly checks the version without writing.
	CheckOnly bool
	Delete    bool
}

// ExpectOtherEra reports whether a write expects a version of another era than the given one.
// Such a transaction conflicts, and must not be sent: the table may have given out the same
// number again.
func ExpectOtherEra(writes []Write, era uint64) bool {
	for _, w := range writes {
		if w.Expected != 0 && w.Expected != AnyVersion && EraOf(w.Expected) != era {
			return true
		}
	}
	return false
}

// TransactKind classifies the outcome of a transaction.
type TransactKind uint8

// Outcomes of a transaction.
const (
	// TransactUnknown means that the reply was lost; the writes may have taken effect.
	TransactUnknown TransactKind = iota
	TransactCommitted
	TransactConflict
	// TransactUnavailable means that the service refused the call before running it.
	TransactUnavailable
)

// TransactResult is the outcome of a transaction.
type TransactResult struct {
	Kind TransactKind
	// Versions holds the new versions in the order of the writes if the transaction
	// committed.
	Versions []uint64
	// Conflicts holds the current rows whose versions did not match on a conflict.
	Conflicts []Row
	// Err describes the cause of TransactUnknown or TransactUnavailable for logs.
	Err error
}

// RowReader reads rows by key. Absent rows are returned with version 0. An error means
// that the service couldn't be read.
type RowReader interface {
	Read(ctx context.Context, keys ...string) ([]Row, error)
}

// RowScanner lists rows in key order.
type RowScanner interface {
	// Scan returns up to limit rows whose keys start with prefix and are greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Transactor applies conditional writes atomically.
type Transactor interface {
	// Transact applies writes in one transaction. It is idempotent per attempt: the
	// service stores the attempt for as long as it keeps the rows, and repeating an
	// attempt that committed returns its first result.
	Transact(ctx context.Context, attempt AttemptID, writes []Write) TransactResult
}

// Table is the platform's transactional table service. Row versions increase
// monotonically, even when a row is deleted and created again. When the table begins a new
// era, the versions of unchanged rows rise too, and writes that expect a version of an earlier
// era conflict. A write that expects an absent row may commit in a later era than that of the
// read: the versions in its result tell.
type Table interface {
	RowReader
	RowScanner
	Transactor
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	Put(ctx context.Context, key string, value []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	List(ctx context.Context, prefix string, limit int) ([]string, error)
}

// ListedInstance is one entry of the platform's instance list, which may be stale.
type ListedInstance struct {
	ID         InstanceID
	Address    string
	DataCentre DataCentre
	Leaving    bool
}

// InstanceLister reads the platform's list of instances.
type InstanceLister interface {
	Instances(ctx context.Context) ([]ListedInstance, error)
}
