// Package route matches requests to routes and selects a service by the route's split.
package route

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gorseline/core"
	"gorseline/core/apikey"
)

// Table holds the compiled routes of one configuration. It is immutable.
type Table struct {
	configuration *core.Forwarding
	// hosts maps a normalised host to its routes, longest prefix first.
	hosts map[string][]*core.Route
	keys  *apikey.Index
}

// NewTable compiles a configuration, which must not change afterwards. Routes without a
// split are left out.
func NewTable(configuration *core.Forwarding) *Table {
	t := &Table{configuration: configuration, hosts: map[string][]*core.Route{}, keys: apikey.NewIndex(configuration)}
	for i := range configuration.Routes {
		r := &configuration.Routes[i]
		if len(r.Splits) == 0 {
			continue
		}
		host := normaliseHost(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *core.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// WithPrevious returns a copy that also knows how its API keys differ from those of the table that it
// replaces. previous may be nil.
func (t *Table) WithPrevious(previous *Table) *Table {
	if previous == nil {
		return t
	}
	with := *t
	with.keys = t.keys.WithPrevious(previous.keys)
	return &with
}

// Keys returns the index of the configuration's API keys.
func (t *Table) Keys() *apikey.Index { return t.keys }

// Configuration returns the configuration that the table was made from.
func (t *Table) Configuration() *core.Forwarding { return t.configuration }

// Version returns the version of the configuration.
func (t *Table) Version() core.Revision { return t.configuration.Version }

// Match returns the route of the host whose prefix is the longest that path begins with,
// and false if there is none. Matching ignores the case and port of the host.
func (t *Table) Match(host, path string) (*core.Route, bool) {
	for _, r := range t.hosts[normaliseHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normaliseHost returns a host in lower case and without its port.
func normaliseHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}

// SelectService selects one of the route's services in proportion to the weights of its
// split, by a hash of the request's identifier: all instances select the same service for
// a request. The route must have a split.
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
