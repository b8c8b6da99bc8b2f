package driver

import (
	"context"
	"net"
	"strconv"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/acceptor"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
	"github.com/azuretrestle/azuretrestle/internal/registrar"
)

// ErrExpired is returned by a Store that no longer has the requested records.
var ErrExpired = errors.New("records have expired")

// Page is a range of consecutive records of a topic.
type Page struct {
	Facts []reducer.StoreRecord
	// Next is the offset after the last record of the page, End the offset of the next append.
	Next uint64
	End  uint64
}

// Store holds the configuration and the upstreams of a managed deployment.
type Store interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, t reducer.Topic) (Page, error)
	// Read returns the records from an offset on. It returns an empty page, not an error, if there are none.
	Read(ctx context.Context, t reducer.Topic, from uint64) (Page, error)
}

// WithStore makes the driver follow the configuration in a store.
func WithStore(s Store) Option { return func(d *Driver) { d.store = s } }

// startStoreRead starts a read and cancels an earlier one of the same topic; d.mu is held.
func (d *Driver) startStoreRead(e reducer.ReadStore) {
	if cancel := d.storeReads[e.Topic]; cancel != nil {
		cancel()
	}
	ctx, cancel := context.WithDeadline(d.ctx, e.Deadline)
	d.storeReads[e.Topic] = cancel
	d.spawn(func() {
		defer cancel()
		d.readStore(ctx, e)
	})
}

func (d *Driver) readStore(ctx context.Context, e reducer.ReadStore) {
	var page Page
	var err error
	if e.Whole {
		page, err = d.store.Newest(ctx, e.Topic)
	} else {
		page, err = d.store.Read(ctx, e.Topic, e.From)
	}
	if d.ctx.Err() != nil {
		return
	}
	d.metrics.storeReads.WithLabelValues(e.Topic.String(), strconv.FormatBool(err == nil)).Inc()
	if err != nil {
		d.logger.Debug("store read failed", zap.Stringer("Topic", e.Topic), zap.NamedError("Error", err))
	}
	d.post(func(s reducer.Stamp) reducer.Event {
		if err != nil {
			return reducer.StoreFailed{Stamp: s, ID: e.ID, Topic: e.Topic, Expired: errors.Is(err, ErrExpired), Problem: err.Error()}
		}
		return reducer.StoreRead{Stamp: s, ID: e.ID, Topic: e.Topic, Whole: e.Whole, Facts: page.Facts, Next: page.Next, End: page.End}
	})
}

// setCallerLimits applies the operator's limits to the callers' connections; d.mu is held.
func (d *Driver) setCallerLimits(l registrar.Limits) {
	d.logger.Info("caller limits set", zap.Int("Header", l.Header), zap.Int64("Body", l.Body),
		zap.Duration("HeaderPatience", l.HeaderPatience), zap.Duration("Idle", l.Idle))
	for _, s := range d.servers {
		if a, ok := s.(*acceptor.Server); ok {
			a.SetLimits(acceptorLimits(l))
		}
	}
}

func acceptorLimits(l registrar.Limits) acceptor.Limits {
	return acceptor.Limits{Header: l.Header, HeaderPatience: l.HeaderPatience, Idle: l.Idle}
}

// ServeRoutes serves callers of a managed deployment on the listener and returns
// at once. The driver takes ownership of the listener.
func (d *Driver) ServeRoutes(lis net.Listener) {
	s := acceptor.New(d.RouteHandler(), d.logger)
	d.mu.Lock()
	defer d.mu.Unlock()
	// A document may have been read before.
	s.SetLimits(acceptorLimits(d.node.Limits()))
	if d.drained != nil || d.ctx.Err() != nil {
		_ = lis.Close()
		return
	}
	d.servers = append(d.servers, s)
	d.spawn(func() {
		if err := s.Serve(lis); err != nil {
			d.logger.Error("caller listener failed", zap.NamedError("Error", err))
		}
	})
}

// callerConnections returns the number of open connections of callers.
func (d *Driver) callerConnections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	open := 0
	for _, s := range d.servers {
		if a, ok := s.(*acceptor.Server); ok {
			open += a.Connections()
		}
	}
	return open
}

// upstreamConnections returns the number of open connections to upstreams.
func (d *Driver) upstreamConnections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	open := 0
	for _, p := range d.managedPools {
		open += p.Open()
	}
	return open
}

// SetManaged replaces the settings of a managed entry.
func (d *Driver) SetManaged(m reducer.Managed) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.node.SetManaged(m)
}

// Ready reports whether the entry accepts new callers.
func (d *Driver) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ctx.Err() == nil && d.node.Ready()
}

// Entries returns the entries that a caller in a data centre should use.
func (d *Driver) Entries(ctx context.Context, dataCentre string) (reducer.AnswerEntries, error) {
	c := &call{reply: make(chan reply, 1)}
	d.mu.Lock()
	id := d.newID()
	d.calls[id] = c
	d.step(reducer.EntriesRequested{Stamp: stamp(), ID: id, DataCentre: dataCentre})
	d.mu.Unlock()
	select {
	case rep := <-c.reply:
		if e, ok := rep.(entriesReply); ok {
			return e.AnswerEntries, nil
		}
		return reducer.AnswerEntries{}, errors.New("unexpected reply of the node to an entries query")
	case <-ctx.Done():
		return reducer.AnswerEntries{}, ctx.Err()
	case <-d.ctx.Done():
		return reducer.AnswerEntries{}, context.Canceled
	}
}
