package router

import (
	"net"
	"strings"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Route sends the requests for a host and a path prefix to one service or to several by weight.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Rank is the class of the requests; its name is that within every service.
	Rank   patcher.Rank
	Shares []Share
}

// Share is a service with its part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// shared is a route with the credits by which its services take turns.
type shared struct {
	Route
	credits []int
}

// Table holds the routes of one version of the configuration.
type Table struct {
	hosts map[string]map[string]*shared
}

// New returns a table of the routes; of two with the same host and prefix the last one holds.
func New(routes []Route) *Table {
	t := &Table{hosts: make(map[string]map[string]*shared)}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*shared)
		}
		t.hosts[host][r.Prefix] = &shared{Route: r, credits: make([]int, len(r.Shares))}
	}
	return t
}

// Match returns the route with the longest prefix of the path and the service
// whose turn it is; it reports false if no route matches.
func (t *Table) Match(host, path string) (r Route, service string, ok bool) {
	prefixes := t.hosts[hostname(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if s, found := prefixes[path[:end+1]]; found {
			return s.Route, s.turn(), true
		}
	}
	return Route{}, "", false
}

func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// turn picks a service by smooth weighted round robin, so that any run of
// requests is divided close to the weights.
func (s *shared) turn() string {
	if len(s.Shares) == 0 {
		return ""
	}
	total, best := 0, 0
	for i, share := range s.Shares {
		s.credits[i] += share.Weight
		total += share.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= total
	return s.Shares[best].Service
}
