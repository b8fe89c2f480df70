package object_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gorseline/core"
	client "gorseline/io/object"
	"gorseline/standin/object"
)

// Guards against keys with slashes or spaces that the HTTP client and the server encode
// differently, and against an outage that is reported as a missing object.
func TestClientAgainstStore(t *testing.T) {
	store := object.New()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	c := client.NewClient(server.URL, nil)
	ctx := context.Background()
	for _, key := range []string{"Events/a b/1", "Events/c/2", "Answers/x"} {
		if err := c.Put(ctx, key, []byte(key)); err != nil {
			t.Fatal(err)
		}
	}
	got, err := c.Get(ctx, "Events/a b/1")
	if err != nil || string(got) != "Events/a b/1" {
		t.Errorf("got %q, %v", got, err)
	}
	keys, err := c.List(ctx, "Events/", 10)
	if diff := cmp.Diff([]string{"Events/a b/1", "Events/c/2"}, keys); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if _, err := c.Get(ctx, "Events/none"); !errors.Is(err, core.ErrObjectNotFound) {
		t.Errorf("missing object: %v", err)
	}
	store.SetOutage(true)
	if _, err := c.Get(ctx, "Events/none"); err == nil || errors.Is(err, core.ErrObjectNotFound) {
		t.Errorf("outage: %v", err)
	}
}
