package router

import (
	"testing"

	"github.com/matryer/is"
)

// TestMatch guards against a request that isn't routed by its host and the longest
// matching prefix of its path.
func TestMatch(t *testing.T) {
	route := func(name, host, prefix string) Route {
		return Route{Name: name, Host: host, Prefix: prefix, Shares: []Share{{Service: name, Weight: 1}}}
	}
	table := New([]Route{route("root", "a.example", "/"), route("long", "a.example", "/x/y/"), route("short", "a.example", "/x/"), route("other", "b.example", "/x/")})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.example:8080", "/x/y", "short"},
		{"a.example", "/x/yy/z", "short"},
		{"a.example", "/x", "root"},
		{"b.example", "/x/", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			r, service, ok := table.Match(c.host, c.path)
			is.Equal(ok, c.want != "")
			is.Equal(r.Name, c.want)
			is.Equal(service, c.want)
		})
	}
}

// TestWeights guards against a distribution of requests that deviates from the weights,
// also within ten consecutive requests.
func TestWeights(t *testing.T) {
	is := is.New(t)
	table := New([]Route{{Host: "a", Prefix: "/", Shares: []Share{{"x", 90}, {"y", 10}, {"z", 0}}}})
	for run := range 10 {
		count := map[string]int{}
		for range 10 {
			_, service, _ := table.Match("a", "/")
			count[service]++
		}
		is.Equal(count, map[string]int{"x": 9, "y": 1}) // in every ten requests
		_ = run
	}
}
