package platform_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gorseline/core"
	client "gorseline/platform"
)

// Guards against a write that takes the row of another writer for its own, because the store has
// come back from an older copy and has given out the same version again.
func TestVersionsOfAnEarlierEraConflict(t *testing.T) {
	store, c := newStore(t)
	copied := store.Copy()
	mine := c.Transact(t.Context(), "", put("k", "mine", 0))
	store.GoBack(copied)
	if _, err := c.Read(t.Context(), "other"); err != nil { // the client sees the new era
		t.Fatal(err)
	}
	theirs := c.Transact(t.Context(), "", put("k", "theirs", 0))
	if mine.Versions[0]%core.EraVersions != theirs.Versions[0]%core.EraVersions {
		t.Fatalf("versions %v and %v, want the same number", mine.Versions, theirs.Versions)
	}
	if theirs.Versions[0] <= mine.Versions[0] {
		t.Errorf("version %d of the new era after %d", theirs.Versions[0], mine.Versions[0])
	}
	again := c.Transact(t.Context(), "", put("k", "again", mine.Versions[0]))
	if again.Kind != core.TransactConflict || len(again.Conflicts) != 1 || string(again.Conflicts[0].Value) != "theirs" {
		t.Errorf("%+v", again)
	}
}

// Guards against a writer that does not learn from the answer of its write that the store has
// gone back.
func TestResultShowsTheEraOfTheWrite(t *testing.T) {
	store, c := newStore(t)
	created := c.Transact(t.Context(), "", put("k", "one", 0))
	store.GoBack(store.Copy())
	renewed := c.Transact(t.Context(), "", put("k", "two", created.Versions[0]))
	if renewed.Kind != core.TransactCommitted || core.EraOf(renewed.Versions[0]) != core.EraOf(created.Versions[0])+1 {
		t.Errorf("%+v after %+v", renewed, created)
	}
}

// Guards against rows of an answer that was under way when the store began a new era.
func TestAnswerOfAnEarlierEraIsNotTaken(t *testing.T) {
	var era atomic.Value
	era.Store("7")
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Store-Era", era.Load().(string))
		_, _ = w.Write([]byte(`{"rows":[],"ver":5}`))
	}))
	t.Cleanup(server.Close)
	c := client.NewStore(client.StoreSettings{
		Address: strings.TrimPrefix(server.URL, "http://"), ReadsPerSecond: 2000, WritesPerSecond: 400,
	}, nil)
	for _, test := range []struct {
		era  string
		fail bool
	}{{"7", false}, {"8", false}, {"7", true}, {"x", true}, {"", true}, {"8", false}} {
		era.Store(test.era)
		if _, err := c.Read(t.Context(), "k"); (err != nil) != test.fail {
			t.Errorf("era %q: error %v", test.era, err)
		}
	}
	if got, _ := c.Era(); got != 8 {
		t.Errorf("era %d, want 8", got)
	}
}
