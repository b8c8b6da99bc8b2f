package administrator

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// Node is the part of an entry that the administration uses; internal/driver satisfies it.
type Node interface {
	// Submit gives a patch to the node and waits for the verdict.
	Submit(ctx context.Context, p patcher.Patch) (reducer.AnswerPatch, error)
	// View runs a function on the state of the node between two steps.
	View(f func(*reducer.Node))
}

// Operator is the holder of a token.
type Operator struct {
	Name  string
	Token string
}

// Limits that apply unless an option sets others.
const (
	defaultPatchBody     = 1 << 20
	defaultPatchPatience = 15 * time.Second
)

// Administrator is the HTTP handler of the administration.
type Administrator struct {
	node      Node
	gatherers []prometheus.Gatherer
	// healthHandler answers /healthz and /readyz; nil if they are not offered.
	healthHandler http.Handler
	operators     []holder
	logger        *zap.Logger
	body          int64
	patience      time.Duration
	metrics       *metrics
	mux           *http.ServeMux
}

// Option changes an administrator before it serves.
type Option func(*Administrator)

// WithOperators sets who may use the interface; without any, only this host may.
func WithOperators(list []Operator) Option {
	return func(a *Administrator) {
		for _, o := range list {
			a.operators = append(a.operators, newHolder(o))
		}
	}
}

// WithLogger makes the administrator log changes to l.
func WithLogger(l *zap.Logger) Option { return func(a *Administrator) { a.logger = l } }

// WithLimits bounds a patch in bytes, and the time to wait for the verdict on one.
func WithLimits(body int64, patience time.Duration) Option {
	return func(a *Administrator) {
		a.body = body
		a.patience = patience
	}
}

// WithGatherer adds metrics to those of the administration itself.
func WithGatherer(g prometheus.Gatherer) Option {
	return func(a *Administrator) { a.gatherers = append(a.gatherers, g) }
}

// WithHealth serves /healthz and /readyz by h.
func WithHealth(h http.Handler) Option { return func(a *Administrator) { a.healthHandler = h } }

// New returns the administration of a node.
func New(n Node, opts ...Option) *Administrator {
	a := &Administrator{
		node:     n,
		logger:   zap.NewNop(),
		body:     defaultPatchBody,
		patience: defaultPatchPatience,
		metrics:  newMetrics(),
		mux:      http.NewServeMux(),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.metrics.expose(a.gatherers)
	a.route()
	return a
}

// ServeHTTP answers one call.
func (a *Administrator) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }
