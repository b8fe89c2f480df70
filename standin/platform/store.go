// Package platform is a fake of the operators' platform: a store and targets with fault
// injection. It shares no code with the client, so that a mistake in one of them makes the
// tests fail.
package platform

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Row is a row of the store, or its deletion, with the version of its last change.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// Faults are the faults that a store injects into its calls.
type Faults struct {
	// Status is the HTTP status that all calls are refused with; 0 refuses none.
	Status int
	// Unresponsive makes the store accept calls and never answer them.
	Unresponsive bool
	// Delay is added to each response.
	Delay time.Duration
	// DropWriteResponses is the number of next writes that are applied without a response.
	DropWriteResponses int
	// DroppedWriteDelay postpones writes without a response by this time. They are then
	// applied only if their condition still holds.
	DroppedWriteDelay time.Duration
	// StaleReadVersion is the version that range reads report instead of the newest; 0
	// reports the newest.
	StaleReadVersion uint64
}

// Store is a fake of the platform's store. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// era counts how often the store has gone back to a copy; each answer carries it.
	era     uint64
	version uint64
	rows    map[rowKey]Row
	history []Row
	// compactedVersion is the version up to which the history has been dropped.
	compactedVersion uint64
	// changed is closed and replaced at each commit.
	changed chan struct{}
	faults  Faults
	// refused is closed, and replaced, when the store begins to refuse calls. Calls that wait for a
	// change are refused then.
	refused chan struct{}
	// external holds the latest write of each row that operators and targets wrote.
	external map[rowKey]Row
	// calls counts the calls by path.
	calls map[string]int
	// delayedWrites holds a channel for each delayed write, closed once the write has been
	// processed.
	delayedWrites []<-chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{era: 1, rows: map[rowKey]Row{}, external: map[rowKey]Row{}, changed: make(chan struct{}), refused: make(chan struct{}), calls: map[string]int{}}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Status != 0 {
		close(s.refused)
		s.refused = make(chan struct{})
	}
}

// Calls returns the number of calls of a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a row without a condition, as operators and targets do, and returns its version.
func (s *Store) Put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commitExternal(Row{Table: table, Key: key, Value: value})
}

// commitExternal commits a row that an operator or a target writes. The lock must be held.
func (s *Store) commitExternal(row Row) uint64 {
	s.external[rowKey{row.Table, row.Part, row.Key}] = row
	return s.commit([]Row{row})
}

// Copy is a copy of the store's content.
type Copy struct {
	version, compactedVersion uint64
	rows                      map[rowKey]Row
	history                   []Row
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.version, s.compactedVersion, maps.Clone(s.rows), slices.Clone(s.history)}
}

// GoBack replaces the content by an earlier copy and begins a new era. Versions after that of
// the copy are given out again.
func (s *Store) GoBack(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.compactedVersion, s.rows, s.history = c.version, c.compactedVersion, maps.Clone(c.rows), slices.Clone(c.history)
	close(s.changed)
	s.changed = make(chan struct{})
}

// RewriteExternal writes again what operators and targets wrote and the store has lost.
func (s *Store) RewriteExternal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, row := range s.external {
		current, ok := s.rows[key]
		if row.Deleted && ok || !row.Deleted && string(current.Value) != string(row.Value) {
			s.commit([]Row{row})
		}
	}
}

// Era returns the current era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Remove deletes a row without a condition.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitExternal(Row{Table: table, Key: key, Deleted: true})
}

// Value returns the value of a row; ok is false if it is absent.
func (s *Store) Value(table, key string) (value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowKey{table, "", key}]
	return row.Value, ok
}

// CompactHistory drops the history of all changes so far. Feeds that start at an older
// version get status 410.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedVersion, s.history = s.version, nil
}

// WaitForDelayedWrites blocks until all delayed writes that have begun are processed.
func (s *Store) WaitForDelayedWrites() {
	s.mu.Lock()
	writes := s.delayedWrites
	s.mu.Unlock()
	for _, done := range writes {
		<-done
	}
}

// commit applies rows under one new version and returns it. The lock must be held.
func (s *Store) commit(rows []Row) uint64 {
	s.version++
	for _, row := range rows {
		row.Ver = s.version
		key := rowKey{row.Table, row.Part, row.Key}
		if row.Deleted {
			row.Value = nil
			delete(s.rows, key)
		} else {
			s.rows[key] = row
		}
		s.history = append(s.history, row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// Handler returns the HTTP handler of the store's protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.withFaults(s.get))
	mux.HandleFunc("GET /-/rows-feed", s.withFaults(s.feed))
	mux.HandleFunc("POST /-/rows-tx", s.withFaults(s.transact))
	return mux
}

// withFaults wraps a handler with the injected faults.
func (s *Store) withFaults(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		faults := s.faults
		s.setEra(w)
		s.mu.Unlock()
		switch {
		case faults.Unresponsive:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case faults.Status != 0:
			w.WriteHeader(faults.Status)
			return
		}
		if faults.Delay > 0 {
			time.Sleep(faults.Delay)
		}
		serve(w, r)
	}
}

// setEra sets the era in the header of an answer. The lock must be held.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

// pageLimit is the maximum number of rows in a range read's response.
const pageLimit = 500

// get serves a range read of one table and part.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageLimit
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	rows := []Row{}
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") &&
			(q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	truncated := len(rows) > limit
	version := s.version
	if s.faults.StaleReadVersion > 0 {
		version = s.faults.StaleReadVersion
	}
	writeRows(w, http.StatusOK, rows[:min(limit, len(rows))], truncated, version)
}

func writeRows(w http.ResponseWriter, status int, rows []Row, truncated bool, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": truncated, "ver": version, "now_ms": time.Now().UnixMilli(),
	})
}

// feed serves a long poll for the changes of a table after a version.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	refused := s.refused
	s.mu.Unlock()
	for {
		select {
		case <-refused:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		default:
		}
		s.mu.Lock()
		s.setEra(w)
		if after < s.compactedVersion || after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := s.changesSince(q.Get("table"), after)
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			writeRows(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-refused:
		case <-changed:
		case <-timer.C:
			writeRows(w, http.StatusOK, []Row{}, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the latest state of each row of a table that changed after a version,
// sorted by version and key. The lock must be held.
func (s *Store) changesSince(table string, after uint64) []Row {
	newest := map[rowKey]Row{}
	for _, row := range s.history {
		if row.Table == table && row.Ver > after {
			newest[rowKey{row.Table, row.Part, row.Key}] = row
		}
	}
	rows := make([]Row, 0, len(newest))
	for _, row := range newest {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Ver, b.Ver), cmp.Compare(a.Key, b.Key))
	})
	return rows
}

// transaction is the body of a conditional write. Its condition holds if each row of
// IfRevision still has the given version; version 0 means that the row is absent.
type transaction struct {
	IfRevision []Row `json:"if_revision"`
	Puts       []Row `json:"puts"`
	Remove     []Row `json:"remove"`
}

// transact serves a conditional write. The tables of operators and targets are read-only.
func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(slices.Clone(tx.Puts), tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	dropsResponse := s.faults.DropWriteResponses > 0
	if dropsResponse {
		s.faults.DropWriteResponses--
	}
	if delay := s.faults.DroppedWriteDelay; dropsResponse && delay > 0 {
		done := make(chan struct{})
		s.delayedWrites = append(s.delayedWrites, done)
		s.mu.Unlock()
		go s.runDelayed(tx, delay, done)
		panic(http.ErrAbortHandler)
	}
	status, rows, version := s.apply(tx)
	s.setEra(w)
	s.mu.Unlock()
	if dropsResponse {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	writeRows(w, status, rows, false, version)
}

// runDelayed applies a transaction after a delay.
func (s *Store) runDelayed(tx transaction, delay time.Duration, done chan<- struct{}) {
	defer close(done)
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(tx)
}

// apply commits a transaction if its condition holds. Otherwise it returns status 412 with
// the current rows of the condition. The lock must be held.
func (s *Store) apply(tx transaction) (status int, current []Row, version uint64) {
	status = http.StatusOK
	for _, condition := range tx.IfRevision {
		row, ok := s.rows[rowKey{condition.Table, condition.Part, condition.Key}]
		if ok {
			current = append(current, row)
		}
		if row.Ver != condition.Ver {
			status = http.StatusPreconditionFailed
		}
	}
	if status != http.StatusOK {
		return status, current, s.version
	}
	rows := slices.Clone(tx.Puts)
	for _, row := range tx.Remove {
		row.Deleted = true
		rows = append(rows, row)
	}
	return status, nil, s.commit(rows)
}
