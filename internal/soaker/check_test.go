package soaker

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/platform/faker"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// run returns the execution of a request by an upstream.
func run(ms int, id, upstream, service string) faker.Run {
	return faker.Run{At: at(ms), Server: upstream, Service: service, ID: id, Method: http.MethodGet, Target: "/read/x"}
}

func runOnce(ms int, id string) faker.Run {
	r := run(ms, id, "u", serviceOnce)
	r.Method = methodOnce
	return r
}

// request returns a request with the response of the matching run.
func request(ms int, id string) Request {
	r := Request{ID: id, Method: http.MethodGet, Target: "/read/x", SentAt: at(ms), EndedAt: at(ms + 20), Status: http.StatusOK, Stamp: "u"}
	r.Answer = run(0, id, "u", "").Answer()
	return r
}

func requestOnce(ms int, id string, status int) Request {
	r := request(ms, id)
	r.Method = methodOnce
	r.Status = status
	r.Answer = runOnce(0, id).Answer()
	return r
}

// unanswered returns the request without a response.
func unanswered(r Request) Request {
	r.Status = 0
	return r
}

func version(number, ms int, service string) Version {
	return Version{Number: number, Service: service, SentAt: at(ms), AckedAt: at(ms)}
}

func disturbed(entry, from, until int) Disturbance {
	return Disturbance{Entry: entry, From: at(from), Until: at(until)}
}

func planned(from, until int) Disturbance {
	d := disturbed(0, from, until)
	d.Planned = true
	return d
}

func storeDisturbed(from, until int) Disturbance {
	d := disturbed(allEntries, from, until)
	d.Store = true
	return d
}

// retries returns a trace with the given number of retries of one request.
func retries(count int) Trace {
	t := Trace{Requests: []Request{request(0, "a")}}
	for i := range count + 1 {
		t.Runs = append(t.Runs, run(i, "a", "u", serviceOnce))
	}
	return t
}

// recovered returns a trace with a fault that lasts until the given time in ms and 8
// requests at 20 s, of which the given number succeeds.
func recovered(until, served int) Trace {
	t := Trace{Disturbances: []Disturbance{disturbed(0, 0, until)}}
	for i := range 8 {
		id := fmt.Sprint(i)
		r := request(20_000+i, id)
		if i >= served {
			r.Status = http.StatusServiceUnavailable
		} else {
			t.Runs = append(t.Runs, run(20_000+i, id, "u", serviceOnce))
		}
		t.Requests = append(t.Requests, r)
	}
	return t
}

// TestChecks guards against a check that misses a violation, or that reports a trace
// which the promises allow. An empty promise marks an allowed trace.
func TestChecks(t *testing.T) {
	two := []Version{version(1, 0, serviceOnce), version(2, 5000, serviceOther)}
	departures := []Departure{{"u", at(5000)}}
	for name, tt := range map[string]struct {
		promise string
		trace   Trace
	}{
		"served once":                    {"", Trace{Requests: []Request{requestOnce(0, "a", 200)}, Runs: []faker.Run{runOnce(1, "a")}}},
		"ran twice":                      {"Once", Trace{Requests: []Request{requestOnce(0, "a", 200)}, Runs: []faker.Run{runOnce(1, "a"), runOnce(2, "a")}}},
		"idempotent request ran twice":   {"", Trace{Requests: []Request{request(0, "a")}, Runs: []faker.Run{run(1, "a", "u", serviceOnce), run(2, "a", "u", serviceOnce)}}},
		"refused and not run":            {"", Trace{Requests: []Request{requestOnce(0, "a", 503)}}},
		"refused and ran":                {"NotRun", Trace{Requests: []Request{requestOnce(0, "a", 503)}, Runs: []faker.Run{runOnce(1, "a")}}},
		"refused and ran later":          {"NotRun", Trace{Requests: []Request{requestOnce(0, "a", 429)}, Runs: []faker.Run{runOnce(900, "a")}}},
		"failed and ran":                 {"", Trace{Requests: []Request{requestOnce(0, "a", 502)}, Runs: []faker.Run{runOnce(1, "a")}}},
		"success without a run":          {"Answer", Trace{Requests: []Request{request(0, "a")}}},
		"response of another upstream":   {"Answer", Trace{Requests: []Request{request(0, "a")}, Runs: []faker.Run{run(1, "a", "v", serviceOnce)}}},
		"truncated response":             {"Answer", Trace{Requests: []Request{{ID: "a", Method: "GET", Target: "/read/x", Status: 200, Stamp: "u", Answer: "u GET"}}, Runs: []faker.Run{run(1, "a", "u", serviceOnce)}}},
		"run without a request":          {"Asked", Trace{Runs: []faker.Run{run(1, "a", "u", serviceOnce)}}},
		"run with another method":        {"Asked", Trace{Requests: []Request{unanswered(request(0, "a"))}, Runs: []faker.Run{runOnce(1, "a")}}},
		"drained within the bound":       {"", Trace{Departures: departures, Requests: []Request{request(6900, "a")}, Runs: []faker.Run{run(7000, "a", "u", serviceOnce)}}},
		"drained too late":               {"Drain", Trace{Departures: departures, Requests: []Request{request(6900, "a")}, Runs: []faker.Run{run(7001, "a", "u", serviceOnce)}}},
		"drained by a disturbed entry":   {"", Trace{Departures: departures, Disturbances: []Disturbance{disturbed(0, 0, 4100)}, Requests: []Request{request(6900, "a")}, Runs: []faker.Run{run(7001, "a", "u", serviceOnce)}}},
		"drained beside another entry":   {"Drain", Trace{Departures: departures, Disturbances: []Disturbance{disturbed(1, 0, 9000)}, Requests: []Request{request(6900, "a")}, Runs: []faker.Run{run(7001, "a", "u", serviceOnce)}}},
		"drained while the store failed": {"", Trace{Departures: departures, Disturbances: []Disturbance{storeDisturbed(0, 2500)}, Requests: []Request{request(6900, "a")}, Runs: []faker.Run{run(7001, "a", "u", serviceOnce)}}},
		"version within the bound":       {"", Trace{Versions: two, Requests: []Request{request(7000, "a")}, Runs: []faker.Run{run(7001, "a", "u", serviceOnce)}}},
		"version too late":               {"Version", Trace{Versions: two, Requests: []Request{request(7001, "a")}, Runs: []faker.Run{run(7002, "a", "u", serviceOnce)}}},
		"version before it was sent":     {"Version", Trace{Versions: two, Requests: []Request{request(4000, "a")}, Runs: []faker.Run{run(4001, "a", "u", serviceOther)}}},
		"version at a disturbed entry":   {"", Trace{Versions: two, Disturbances: []Disturbance{disturbed(0, 0, 4100)}, Requests: []Request{request(7001, "a")}, Runs: []faker.Run{run(7002, "a", "u", serviceOnce)}}},
		"version goes back":              {"Revert", Trace{Versions: two, Requests: []Request{request(5001, "a"), request(5300, "b")}, Runs: []faker.Run{run(5002, "a", "u", serviceOther), run(5301, "b", "u", serviceOnce)}}},
		"requests cross a version":       {"", Trace{Versions: two, Requests: []Request{request(5001, "a"), request(5200, "b")}, Runs: []faker.Run{run(5002, "a", "u", serviceOther), run(5201, "b", "u", serviceOnce)}}},
		"version goes back by a restart": {"", Trace{Versions: two, Disturbances: []Disturbance{disturbed(0, 5100, 5200)}, Requests: []Request{request(5001, "a"), request(5300, "b")}, Runs: []faker.Run{run(5002, "a", "u", serviceOther), run(5301, "b", "u", serviceOnce)}}},
		"dropped by a planned stop":      {"Stop", Trace{Disturbances: []Disturbance{planned(10, 500)}, Requests: []Request{unanswered(requestOnce(0, "a", 0))}, Runs: []faker.Run{runOnce(1, "a")}}},
		"dropped by a killed entry":      {"", Trace{Disturbances: []Disturbance{planned(10, 500), disturbed(0, 12, 500)}, Requests: []Request{unanswered(requestOnce(0, "a", 0))}, Runs: []faker.Run{runOnce(1, "a")}}},
		"dropped by a crashed upstream":  {"", Trace{Disturbances: []Disturbance{planned(10, 500)}, Crashes: map[string]time.Time{"u": at(5)}, Requests: []Request{unanswered(requestOnce(0, "a", 0))}, Runs: []faker.Run{runOnce(1, "a")}}},
		"not run before a planned stop":  {"", Trace{Disturbances: []Disturbance{planned(10, 500)}, Requests: []Request{unanswered(requestOnce(0, "a", 0))}}},
		"answered after the timeout":     {"Timeout", Trace{Requests: []Request{{ID: "a", Method: methodOnce, SentAt: at(0), EndedAt: at(1201), Status: 504}}}},
		"answered at the timeout":        {"", Trace{Requests: []Request{{ID: "a", Method: methodOnce, SentAt: at(0), EndedAt: at(1200), Status: 504}}}},
		"retries within the budget":      {"", retries(70)},
		"too many retries":               {"Repeats", retries(75)},
		"served after the faults":        {"", recovered(1000, 2)},
		"not served after the faults":    {"Recovery", recovered(1000, 1)},
		"too early to be served":         {"", recovered(6000, 0)},
		"idle connections":               {"", Trace{UpstreamCount: 2, Usages: []EntryUsage{{Start: Usage{30, 20, 1 << 20}, Idle: Usage{104, 94, 33 << 20}}}}},
		"goroutines of no connection":    {"Idle", Trace{UpstreamCount: 2, Usages: []EntryUsage{{Start: Usage{30, 20, 1 << 20}, Idle: Usage{105, 20, 1 << 20}}}}},
		"files of no connection":         {"Idle", Trace{UpstreamCount: 2, Usages: []EntryUsage{{Start: Usage{30, 20, 1 << 20}, Idle: Usage{30, 95, 1 << 20}}}}},
		"memory of no request":           {"Idle", Trace{UpstreamCount: 2, Usages: []EntryUsage{{Start: Usage{30, 20, 1 << 20}, Idle: Usage{30, 20, 34 << 20}}}}},
		"unexpected exit":                {"Exit", Trace{Exits: []Exit{{0, at(0), "exit status 2"}}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tt.trace.Begun = epoch
			if tt.trace.Versions == nil {
				tt.trace.Versions = []Version{version(1, -10_000, serviceOnce)}
			}
			found := Check(&tt.trace)
			if tt.promise == "" {
				is.Equal(found, nil) // an allowed trace
				return
			}
			is.Equal(len(found), 1)
			is.Equal(found[0].Promise, tt.promise)
		})
	}
}

// TestPlan guards against a plan that depends on anything but the seed, refers to
// an entry or upstream that does not exist, or leaves no time for recovery.
func TestPlan(t *testing.T) {
	is := is.New(t)
	const length = 60 * time.Second
	size := Size{Entries: 3, Upstreams: 4}
	kinds := make(map[string]bool)
	for seed := range uint64(100) {
		steps := Plan(seed, epoch, length, size)
		is.Equal(steps, Plan(seed, epoch, length, size))
		end := epoch.Add(length - recoveryBound - recoverySample)
		for _, s := range steps {
			kinds[fmt.Sprintf("%T", s.Fault)] = true
			is.True(!s.At.Before(epoch.Add(quietBefore)) && s.At.Before(end) && !s.Until.After(end))
			is.True(s.String() != "")
			switch f := s.Fault.(type) {
			case StopEntry:
				is.True(f.Entry < size.Entries)
			case BreakLink:
				is.True(f.Mode > ModePass && f.Mode < modeCount)
				is.True(f.Link.Side == SideUpstream && f.Link.Number < size.Upstreams || f.Link.Number < size.Entries)
			}
		}
	}
	is.Equal(len(kinds), 11) // the plans contain every type of fault
}
