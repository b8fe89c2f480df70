// Package lib holds the stand-ins of the review's scripts: the platform's store, servers, clients, and
// the start of the project's own program. It uses the standard library only.
package lib

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Row is a row of the store as it is on the wire.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// Store stands for the platform's store. All answers are linearizable: one lock guards it.
type Store struct {
	Address string
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]Row
	history []Row
	changed chan struct{}
	// down is closed when the store falls silent; nil while it answers.
	isDown bool
	began  time.Time
}

// NewStore starts a store on an address.
func NewStore(address string) (*Store, error) {
	s := &Store{Address: address, rows: map[rowKey]Row{}, changed: make(chan struct{}), began: time.Now()}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.up(s.get))
	mux.HandleFunc("GET /-/rows-feed", s.up(s.feed))
	mux.HandleFunc("POST /-/rows-tx", s.up(s.transact))
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// SetDown makes the store silent: calls are taken and never answered, and nothing is written.
func (s *Store) SetDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row as the operator and the servers do. It returns false while the store is down.
func (s *Store) Put(table, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return false
	}
	s.commit([]Row{{Table: table, Key: key, Value: value}})
	return true
}

// Remove removes a row as the platform does with entries that lapse.
func (s *Store) Remove(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return false
	}
	s.commit([]Row{{Table: table, Key: key, Deleted: true}})
	return true
}

func (s *Store) commit(rows []Row) {
	s.version++
	for _, row := range rows {
		row.Ver = s.version
		k := rowKey{row.Table, row.Part, row.Key}
		if row.Deleted {
			row.Value = nil
			delete(s.rows, k)
		} else {
			s.rows[k] = row
		}
		s.history = append(s.history, row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) up(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		isDown := s.isDown
		s.mu.Unlock()
		if isDown {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(2 * time.Millisecond)
		serve(w, r)
	}
}

func (s *Store) write(w http.ResponseWriter, status int, rows []Row, truncated bool, ver uint64) {
	if rows == nil {
		rows = []Row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": truncated, "ver": ver, "now_ms": time.Since(s.began).Milliseconds(),
	})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []Row
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	ver := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	s.write(w, http.StatusOK, rows[:min(limit, len(rows))], len(rows) > limit, ver)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		isDown, changed, ver := s.isDown, s.changed, s.version
		newest := map[rowKey]Row{}
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				newest[rowKey{row.Table, row.Part, row.Key}] = row
			}
		}
		s.mu.Unlock()
		if isDown {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if len(newest) > 0 {
			var rows []Row
			for _, row := range newest {
				rows = append(rows, row)
			}
			sort.Slice(rows, func(a, b int) bool { return rows[a].Ver < rows[b].Ver })
			s.write(w, http.StatusOK, rows, false, ver)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.write(w, http.StatusOK, nil, false, ver)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		IfRevision []Row `json:"if_revision"`
		Puts       []Row `json:"puts"`
		Remove     []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]Row{}, tx.Puts...), tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	status := http.StatusOK
	var current []Row
	for _, c := range tx.IfRevision {
		row, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if ok {
			current = append(current, row)
		}
		if row.Ver != c.Ver {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		rows := append([]Row{}, tx.Puts...)
		for _, row := range tx.Remove {
			row.Deleted = true
			rows = append(rows, row)
		}
		s.commit(rows)
		current = nil
	}
	ver := s.version
	s.mu.Unlock()
	s.write(w, status, current, false, ver)
}
