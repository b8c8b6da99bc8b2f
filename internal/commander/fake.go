package commander

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/faker"
	"github.com/azuretrestle/azuretrestle/internal/parser"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// fakeFlags holds the flags of all kinds of fake; each kind uses some of them.
type fakeFlags struct {
	listen    *addressFlag
	name      *string
	slots     *int
	work      *time.Duration
	patchFile *string
}

func fake(e *environment, args []string) int {
	f := e.flagSet("fake", "log | list [settings file ...] | upstream",
		"Runs a stand-in of an outside system until SIGTERM or interrupt. It keeps nothing.\n"+
			"list shows the entries of the given settings files. upstream runs one upstream, or with -patch all\n"+
			"upstreams of a patch file at their addresses. POST /fake/fault?Mode=Up, Down or LosesAnswers&Latency=10ms\n"+
			"changes a log; GET /fake/runs tells how often an upstream ran each key; POST /fake/drain drains it.")
	flags := fakeFlags{
		listen:    e.address(f, "listen", "127.0.0.1:8001", "`IP:port` to listen on"),
		name:      f.String("name", "u1", "`name` of the upstream"),
		slots:     f.Int("slots", 4, "requests that the upstream runs at once"),
		work:      f.Duration("work", 5*time.Millisecond, "mean time that the upstream works on a request"),
		patchFile: f.String("patch", "", "patch `file` whose upstreams to run"),
	}
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		status, ok := e.parse(f, args, 1, 1)
		if ok {
			return ExitUsage
		}
		return status
	}
	kind := args[0]
	if kind != "log" && kind != "list" && kind != "upstream" {
		e.printError(errUnknownFake)
		return ExitUsage
	}
	if status, ok := e.parse(f, args[1:], 0, -1); !ok {
		return status
	}
	if *flags.slots < 1 || *flags.work < 0 {
		e.printError(errInvalidFakeUpstream)
		return ExitUsage
	}
	return e.runFake(kind, flags, f.Args())
}

func (e *environment) runFake(kind string, flags fakeFlags, files []string) int {
	handlers, err := fakeHandlers(kind, flags, files)
	if err != nil {
		return e.fail(err)
	}
	for _, h := range handlers {
		s, err := newServer(h.address, h.handler, nil, zap.NewNop())
		if err != nil {
			return e.fail(err)
		}
		defer s.close()
		s.start()
	}
	for _, h := range handlers {
		e.printf("%s is ready at %s\n", kind, h.address)
	}
	<-e.signals
	return ExitOK
}

type fakeHandler struct {
	address netip.AddrPort
	handler http.Handler
}

func fakeHandlers(kind string, flags fakeFlags, files []string) ([]fakeHandler, error) {
	switch kind {
	case "log":
		return []fakeHandler{{flags.listen.AddrPort, logHandler(faker.NewLog())}}, nil
	case "list":
		hosts, err := hostsOf(files)
		list := new(faker.List)
		list.SetHosts(hosts)
		return []fakeHandler{{flags.listen.AddrPort, list.Handler()}}, err
	default:
		return fakeUpstreams(flags)
	}
}

func hostsOf(files []string) ([]faker.Host, error) {
	var hosts []faker.Host
	for _, name := range files {
		s, err := parser.Load(name)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, faker.Host{Name: s.Name, Address: s.Peers, DataCentre: s.DataCentre, Role: "Entry"})
	}
	return hosts, nil
}

func fakeUpstreams(flags fakeFlags) ([]fakeHandler, error) {
	if *flags.patchFile == "" {
		u := &faker.Upstream{Name: *flags.name, Slots: *flags.slots, Work: randomWork(*flags.work)}
		return []fakeHandler{{flags.listen.AddrPort, upstreamHandler(u)}}, nil
	}
	p, err := parser.LoadPatch(*flags.patchFile)
	if err != nil {
		return nil, err
	}
	var out []fakeHandler
	for _, op := range p.Operations {
		if put, ok := op.(patcher.PutUpstream); ok {
			u := &faker.Upstream{Name: put.Name, Slots: put.Slots, Work: randomWork(*flags.work)}
			out = append(out, fakeHandler{put.Address, upstreamHandler(u)})
		}
	}
	if len(out) == 0 {
		return nil, errNoUpstreams
	}
	return out, nil
}

// randomWork returns a function that draws uniformly distributed processing times between
// 0.5 and 1.5 times the mean.
func randomWork(mean time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return mean/2 + rand.N(mean+1) }
}

func upstreamHandler(u *faker.Upstream) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", u)
	mux.HandleFunc("GET /fake/runs", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(u.AllRuns())
	})
	mux.HandleFunc("POST /fake/drain", func(http.ResponseWriter, *http.Request) { u.Drain() })
	return mux
}

var logModes = map[string]faker.LogMode{"Up": faker.LogUp, "Down": faker.LogDown, "LosesAnswers": faker.LogLosesAnswers}

func logHandler(l *faker.Log) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", l.Handler())
	mux.HandleFunc("POST /fake/fault", func(w http.ResponseWriter, r *http.Request) {
		mode, ok := logModes[r.URL.Query().Get("Mode")]
		latency, err := time.ParseDuration(r.URL.Query().Get("Latency"))
		if !ok || err != nil && r.URL.Query().Has("Latency") {
			http.Error(w, "Mode is not Up, Down or LosesAnswers, or Latency is not a period", http.StatusBadRequest)
			return
		}
		l.SetMode(mode)
		l.SetLatency(latency)
	})
	return mux
}
