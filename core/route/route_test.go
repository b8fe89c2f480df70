package route_test

import (
	"strconv"
	"testing"

	"gorseline/core"
	"gorseline/core/route"
)

func testTable() *route.Table {
	splits := []core.Split{{Service: "s", Weight: 1}}
	return route.NewTable(&core.Forwarding{Version: 3, Routes: []core.Route{
		{Name: "root", Host: "a.example", Prefix: "/", Splits: splits},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/", Splits: splits},
		{Name: "short", Host: "a.example", Prefix: "/x/", Splits: splits},
		{Name: "other", Host: "B.example", Prefix: "/x/", Splits: splits},
		{Name: "nowhere", Host: "c.example", Prefix: "/"},
	}})
}

// Guards against requests that reach the service of another route, because prefixes are
// compared in the wrong order or hosts differ in case or port.
func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/yz", "short"},
		{"a.example", "/x", "root"},
		{"A.EXAMPLE:8080", "/x/y/", "deep"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y/1", ""},
		{"c.example", "/", ""},
		{"", "/", ""},
	}
	for _, test := range tests {
		name := ""
		if r, ok := testTable().Match(test.host, test.path); ok {
			name = r.Name
		}
		if name != test.want {
			t.Errorf("%s%s: route %q, want %q", test.host, test.path, name, test.want)
		}
	}
}

// Guards against a split that ignores its weights, and against instances that select
// different services for the same request.
func TestSplitFollowsItsWeights(t *testing.T) {
	r := &core.Route{Splits: []core.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[core.Service]int{}
	for i := range 10_000 {
		id := core.RequestID(strconv.Itoa(i))
		first := route.SelectService(r, id)
		counts[first]++
		if again := route.SelectService(r, id); again != first {
			t.Fatalf("request %s: services %s and %s", id, first, again)
		}
	}
	if counts["c"] != 0 || counts["b"] < 850 || counts["b"] > 1150 {
		t.Errorf("counts %v", counts)
	}
}
