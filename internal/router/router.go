package router

import (
	"net"
	"strings"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Route assigns the requests for a host and a path prefix to one service or to several by weight.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Rank is the priority class of the requests; it has the same name in every service.
	Rank   patcher.Rank
	Shares []Share
}

// Share is a service with its weight among the services of a route.
type Share struct {
	Service string
	Weight  int
}

// weightedRoute is a route with the state of its smooth weighted round robin.
type weightedRoute struct {
	Route
	// currentWeights holds the current weight of each share, by which the next one is picked.
	currentWeights []int
}

// Table holds the routes of one version of the configuration.
type Table struct {
	hosts map[string]map[string]*weightedRoute
}

// New returns a table of the routes; of two with the same host and prefix the last one is used.
func New(routes []Route) *Table {
	t := &Table{hosts: make(map[string]map[string]*weightedRoute)}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*weightedRoute)
		}
		t.hosts[host][r.Prefix] = &weightedRoute{Route: r, currentWeights: make([]int, len(r.Shares))}
	}
	return t
}

// Match returns the route with the longest matching prefix of the path and the
// service for the request; it reports false if no route matches.
func (t *Table) Match(host, path string) (r Route, service string, ok bool) {
	prefixes := t.hosts[hostname(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if matched, found := prefixes[path[:end+1]]; found {
			return matched.Route, matched.nextService(), true
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

// nextService picks a service by smooth weighted round robin, so that any run of
// requests is divided nearly in proportion to the weights.
func (r *weightedRoute) nextService() string {
	if len(r.Shares) == 0 {
		return ""
	}
	total, best := 0, 0
	for i, share := range r.Shares {
		r.currentWeights[i] += share.Weight
		total += share.Weight
		if r.currentWeights[i] > r.currentWeights[best] {
			best = i
		}
	}
	r.currentWeights[best] -= total
	return r.Shares[best].Service
}
