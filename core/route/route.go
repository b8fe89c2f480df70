// Package route finds the route of a request and the service that its split selects.
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
)

// Table is the compiled routes of one configuration. It is immutable.
type Table struct {
	configuration *core.Forwarding
	// hosts holds the routes of a host, longest prefix first.
	hosts map[string][]*core.Route
}

// NewTable compiles a configuration. Routes without a split are left out.
func NewTable(configuration *core.Forwarding) *Table {
	t := &Table{configuration: configuration, hosts: map[string][]*core.Route{}}
	for i := range configuration.Routes {
		r := &configuration.Routes[i]
		if len(r.Splits) == 0 {
			continue
		}
		host := normalHost(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *core.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Configuration returns the configuration that the table was made from.
func (t *Table) Configuration() *core.Forwarding { return t.configuration }

// Version returns the version of the configuration.
func (t *Table) Version() core.Revision { return t.configuration.Version }

// Match returns the route with the longest prefix of path among those of the host.
func (t *Table) Match(host, path string) (*core.Route, bool) {
	for _, r := range t.hosts[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normalHost returns a host in lower case and without its port.
func normalHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

// SelectService returns the service of a request by the weights of the route's split.
// The same request gets the same service on every instance.
func SelectService(r *core.Route, id core.RequestID) core.Service {
	total := 0
	for _, s := range r.Splits {
		total += max(0, s.Weight)
	}
	if total == 0 || len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	point := int(xxhash.Sum64String(string(id)) % uint64(total))
	for _, s := range r.Splits {
		if point -= max(0, s.Weight); point < 0 {
			return s.Service
		}
	}
	return r.Splits[len(r.Splits)-1].Service
}
