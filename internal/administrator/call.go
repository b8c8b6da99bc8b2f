package administrator

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// Call describes one call of the interface. The table in docs/ADMIN.md has the same content.
type Call struct {
	Method string
	Path   string
	Query  string
	// Open is set if the call needs no token.
	Open bool
	Text string
	// Codes contains the result codes with which the call may be refused or left pending.
	Codes []classifier.Code
	// serve handles a request; its last argument is the name of the operator.
	serve func(*Administrator, http.ResponseWriter, *http.Request, string)
}

// Calls returns all calls of the interface.
func Calls() []Call {
	return []Call{
		{
			Method: http.MethodGet, Path: "/config", Query: "Version (whole number, optional): refuse unless this is the current version",
			Text:  "the configuration in force at this entry, with its version",
			Codes: []classifier.Code{classifier.Unauthorized, classifier.MalformedRequest, classifier.StaleVersion},
			serve: (*Administrator).config,
		},
		{
			Method: http.MethodPost, Path: "/patches", Text: "submit a patch against a version and wait for the verdict",
			Codes: []classifier.Code{
				classifier.Unauthorized, classifier.MalformedRequest, classifier.BodyTooLarge, classifier.StaleVersion,
				classifier.PatchInvalid, classifier.PatchPending, classifier.LogUnavailable,
			},
			serve: (*Administrator).patch,
		},
		{
			Method: http.MethodGet, Path: "/audit", Text: "the newest lines of the audit trail, oldest first",
			Codes: []classifier.Code{classifier.Unauthorized},
			serve: (*Administrator).audit,
		},
		{
			Method: http.MethodGet, Path: "/status", Text: "members, evidence, stop phase, and upstreams with state and reason, as this entry sees them",
			Codes: []classifier.Code{classifier.Unauthorized},
			serve: (*Administrator).status,
		},
		{
			Method: http.MethodGet, Path: "/healthz", Open: true, Text: "whether the process works; 503 if not",
			serve: (*Administrator).health,
		},
		{
			Method: http.MethodGet, Path: "/readyz", Open: true,
			Text:  "whether the entry takes new work; 503 if it stops, has no configuration or can't confirm that it is current",
			serve: (*Administrator).health,
		},
		{
			Method: http.MethodGet, Path: "/metrics", Open: true, Text: "metrics in the Prometheus text format",
			serve: func(a *Administrator, w http.ResponseWriter, r *http.Request, _ string) {
				a.metrics.handler.ServeHTTP(w, r)
			},
		},
	}
}

func (a *Administrator) registerRoutes() {
	for _, c := range Calls() {
		a.mux.HandleFunc(c.Method+" "+c.Path, func(w http.ResponseWriter, r *http.Request) { a.handle(c, w, r) })
	}
	a.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeReply(w, Reply{Code: classifier.MalformedRequest, Detail: "no such call"})
	})
}

func (a *Administrator) handle(c Call, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Cache-Control", "no-store")
	name, ok := a.operator(r)
	if !c.Open && !ok {
		a.metrics.refused.Inc()
		a.logger.Warn("administration call refused", zap.String("Path", c.Path), zap.String("From", r.RemoteAddr))
		writeReply(w, Reply{Code: classifier.Unauthorized})
		return
	}
	c.serve(a, w, r, name)
}

// Reply is the body of every response that carries a result code instead of data.
type Reply struct {
	Code classifier.Code
	// Version is the version that a patch created, or the current one after a refusal.
	Version uint64
	Detail  string   `json:",omitempty"`
	Pending []string `json:",omitempty"`
}

// wireReply is a Reply with the name and the text of its code.
type wireReply struct {
	Reply
	Name string
	Text string
}

func writeReply(w http.ResponseWriter, r Reply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(r.Code.Status())
	_ = json.NewEncoder(w).Encode(wireReply{Reply: r, Name: r.Code.String(), Text: r.Code.Text()})
}

func writeData(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
