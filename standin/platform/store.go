// Package platform is a stand-in of the operators' platform: its store and its targets,
// with the faults that they show. It shares no code with the client, so that a mistake in
// one of them shows in the tests.
package platform

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Row is a row of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct{ table, part, key string }

// Faults are what goes wrong with the store's calls.
type Faults struct {
	// Status refuses all calls with it if it isn't 0.
	Status int
	// Unresponsive accepts calls and never answers.
	Unresponsive bool
	// Delay is added to each answer.
	Delay time.Duration
	// DropWriteResponses runs the next writes without an answer.
	DropWriteResponses int
	// DroppedWriteDelay runs lost writes only after this time, if their condition still holds.
	DroppedWriteDelay time.Duration
	// StaleReadVersion is the version that the next full read shows instead of the newest.
	StaleReadVersion uint64
}

// Store is the stand-in of the platform's store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowName]Row
	history []Row
	// forgotten is the version up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
	faults    Faults
	calls     map[string]int
	late      []<-chan struct{} // closed when a late write has run
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowName]Row{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how often a path was called.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes a row as the operator and targets do, and returns its version.
func (s *Store) Put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commit([]Row{{Table: table, Key: key, Value: value}})
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]Row{{Table: table, Key: key, Deleted: true}})
}

// Value returns the value of a row; ok is false if it is absent.
func (s *Store) Value(table, key string) (value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowName{table, "", key}]
	return row.Value, ok
}

// CompactHistory drops the history of all changes so far.
func (s *Store) CompactHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten, s.history = s.version, nil
}

// WaitForDelayedWrites returns when all delayed writes that have begun so far have run.
func (s *Store) WaitForDelayedWrites() {
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	for _, done := range late {
		<-done
	}
}

// commit applies rows under one new version. The lock must be held.
func (s *Store) commit(rows []Row) uint64 {
	s.version++
	for _, row := range rows {
		row.Ver = s.version
		name := rowName{row.Table, row.Part, row.Key}
		if row.Deleted {
			row.Value = nil
			delete(s.rows, name)
		} else {
			s.rows[name] = row
		}
		s.history = append(s.history, row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// Handler serves the store's protocol.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.withFaults(s.get))
	mux.HandleFunc("GET /-/rows-feed", s.withFaults(s.feed))
	mux.HandleFunc("POST /-/rows-tx", s.withFaults(s.transact))
	return mux
}

func (s *Store) withFaults(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		faults := s.faults
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

// pageLimit is the most rows of one answer.
const pageLimit = 500

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageLimit
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []Row{}
	for name, row := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") &&
			(q.Get("to") == "" || name.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	truncated := len(rows) > limit
	version := s.version
	if s.faults.StaleReadVersion > 0 {
		version = s.faults.StaleReadVersion
	}
	answer(w, http.StatusOK, rows[:min(limit, len(rows))], truncated, version)
}

func answer(w http.ResponseWriter, status int, rows []Row, truncated bool, version uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": truncated, "ver": version, "now_ms": time.Now().UnixMilli(),
	})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := s.since(q.Get("table"), after)
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			answer(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, []Row{}, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the newest state of each row that changed after a version, in the order
// of versions. The lock must be held.
func (s *Store) since(table string, after uint64) []Row {
	newest := map[rowName]Row{}
	for _, row := range s.history {
		if row.Table == table && row.Ver > after {
			newest[rowName{row.Table, row.Part, row.Key}] = row
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

type transaction struct {
	IfRevision []Row `json:"if_revision"`
	Puts       []Row `json:"puts"`
	Remove     []Row `json:"remove"`
}

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
	isLost := s.faults.DropWriteResponses > 0
	if isLost {
		s.faults.DropWriteResponses--
	}
	if lateBy := s.faults.DroppedWriteDelay; isLost && lateBy > 0 {
		done := make(chan struct{})
		s.late = append(s.late, done)
		s.mu.Unlock()
		go s.runLate(tx, lateBy, done)
		panic(http.ErrAbortHandler)
	}
	status, rows, version := s.apply(tx)
	s.mu.Unlock()
	if isLost {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	answer(w, status, rows, false, version)
}

func (s *Store) runLate(tx transaction, after time.Duration, done chan<- struct{}) {
	defer close(done)
	time.Sleep(after)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(tx)
}

// apply runs a transaction. The lock must be held.
func (s *Store) apply(tx transaction) (status int, current []Row, version uint64) {
	status = http.StatusOK
	for _, want := range tx.IfRevision {
		row, ok := s.rows[rowName{want.Table, want.Part, want.Key}]
		if ok {
			current = append(current, row)
		}
		if row.Ver != want.Ver {
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
