package instancelist_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gorseline/core"
	client "gorseline/io/instancelist"
	"gorseline/standin/instancelist"
)

// Guards against a stand-in that shows changes at once, which would hide faults of code
// that assumes an up-to-date list.
func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := instancelist.New(instancelist.Faults{Lag: 30 * time.Second})
		list.Put(core.ListedInstance{ID: "i1", Address: "a1"})
		time.Sleep(20 * time.Second)
		list.Remove("i1")
		for _, expected := range []int{0, 1, 0} {
			got, err := list.Instances(t.Context())
			if err != nil || len(got) != expected {
				t.Errorf("%v, %v, expected %d", got, err, expected)
			}
			time.Sleep(15 * time.Second)
		}
	})
}

// Guards against a client that returns an empty list instead of an error during an
// outage.
func TestListOverHTTP(t *testing.T) {
	list := instancelist.New(instancelist.Faults{})
	server := httptest.NewServer(list.Handler())
	defer server.Close()
	put := func(path, body string) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
	}
	put(instancelist.PathPut, `{"ID":"i1","Address":"a1","DataCentre":"d1"}`)
	c := client.NewClient(client.ClientOptions{URL: server.URL})
	got, err := c.Instances(t.Context())
	if err != nil || len(got) != 1 || got[0].DataCentre != "d1" {
		t.Errorf("%v, %v", got, err)
	}
	put(instancelist.PathFaults, `{"Outage":true}`)
	if got, err := c.Instances(t.Context()); err == nil {
		t.Errorf("read during an outage: %v, expected an error", got)
	}
}
