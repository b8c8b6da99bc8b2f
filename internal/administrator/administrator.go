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

// Node is the part of an entry that the administration uses; internal/driver implements it.
type Node interface {
	// Submit submits a patch to the node and waits for its result.
	Submit(ctx context.Context, p patcher.Patch) (reducer.AnswerPatch, error)
	// View calls f with the state of the node between two steps of the node.
	View(f func(*reducer.Node))
}

// Operator is a person or program that is authorised by a token.
type Operator struct {
	Name  string
	Token string
}

// Default limits of patches.
const (
	defaultMaxPatchBytes = 1 << 20
	defaultPatchTimeout  = 15 * time.Second
)

// Administrator is the HTTP handler of the administration interface.
type Administrator struct {
	node      Node
	gatherers []prometheus.Gatherer
	// healthHandler serves /healthz and /readyz; if it is nil, they are not offered.
	healthHandler http.Handler
	operators     []credential
	logger        *zap.Logger
	maxPatchBytes int64
	patchTimeout  time.Duration
	metrics       *metrics
	mux           *http.ServeMux
}

// Option configures an Administrator.
type Option func(*Administrator)

// WithOperators sets the operators that may use the interface; without any, only
// requests from this host are accepted.
func WithOperators(list []Operator) Option {
	return func(a *Administrator) {
		for _, o := range list {
			a.operators = append(a.operators, newCredential(o))
		}
	}
}

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(a *Administrator) { a.logger = l } }

// WithLimits sets the maximum size of a patch in bytes and the timeout for its result.
func WithLimits(maxPatchBytes int64, patchTimeout time.Duration) Option {
	return func(a *Administrator) {
		a.maxPatchBytes = maxPatchBytes
		a.patchTimeout = patchTimeout
	}
}

// WithGatherer adds metrics to those of the administration itself.
func WithGatherer(g prometheus.Gatherer) Option {
	return func(a *Administrator) { a.gatherers = append(a.gatherers, g) }
}

// WithHealth sets the handler of /healthz and /readyz.
func WithHealth(h http.Handler) Option { return func(a *Administrator) { a.healthHandler = h } }

// New returns the administration handler of a node.
func New(n Node, opts ...Option) *Administrator {
	a := &Administrator{
		node:          n,
		logger:        zap.NewNop(),
		maxPatchBytes: defaultMaxPatchBytes,
		patchTimeout:  defaultPatchTimeout,
		metrics:       newMetrics(),
		mux:           http.NewServeMux(),
	}
	for _, opt := range opts {
		opt(a)
	}
	a.metrics.expose(a.gatherers)
	a.registerRoutes()
	return a
}

// ServeHTTP serves one request.
func (a *Administrator) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }
