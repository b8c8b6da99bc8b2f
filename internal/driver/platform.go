package driver

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/azuretrestle/azuretrestle/internal/recorder"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

// loadPath is the path at which an upstream reports its load.
const loadPath = "/load"

// maxReport bounds the body of a load report in bytes.
const maxReport = 256

func (d *Driver) readLog(e reducer.ReadLog) {
	ctx, cancel := context.WithDeadline(d.ctx, e.Deadline)
	defer cancel()
	askedAt := time.Now()
	page, err := d.log.Read(ctx, e.Stream, e.From)
	d.post(func(s reducer.Stamp) reducer.Event {
		if err != nil {
			d.logger.Debug("log read failed", zap.String("Stream", e.Stream), zap.NamedError("Error", err))
			return reducer.LogFailed{Stamp: s, Stream: e.Stream}
		}
		return logRead(s, e.Stream, askedAt, page)
	})
}

func logRead(s reducer.Stamp, stream string, askedAt time.Time, p recorder.Page) reducer.LogRead {
	ev := reducer.LogRead{Stamp: s, Stream: stream, AskedAt: askedAt, First: p.First, Next: p.Next, Tail: p.Tail}
	for _, r := range p.Records {
		ev.Records = append(ev.Records, reducer.Record(r))
	}
	return ev
}

func (d *Driver) append(e reducer.Append) {
	ctx, cancel := context.WithDeadline(d.ctx, e.Deadline)
	defer cancel()
	offset, err := d.log.Append(ctx, e.Stream, e.Payload)
	d.post(func(s reducer.Stamp) reducer.Event {
		return reducer.AppendFinished{
			Stamp: s, Stream: e.Stream, ID: e.ID, Offset: offset,
			OK: err == nil, Refused: errors.Is(err, recorder.ErrRefused),
		}
	})
}

// listHosts reads the host list. It posts no event on a failure, since the node retries on its own timer.
func (d *Driver) listHosts(e reducer.ListHosts) {
	ctx, cancel := context.WithDeadline(d.ctx, e.Deadline)
	defer cancel()
	hosts, err := d.lister.Hosts(ctx)
	if err != nil {
		d.logger.Debug("host list read failed", zap.NamedError("Error", err))
		return
	}
	d.post(func(s reducer.Stamp) reducer.Event {
		ev := reducer.HostsListed{Stamp: s}
		for _, h := range hosts {
			ev.Hosts = append(ev.Hosts, reducer.Host(h))
		}
		return ev
	})
}

// probe reads an upstream's load over a connection that also carries requests, if there is one.
func (d *Driver) probe(e reducer.Probe) {
	ctx, cancel := context.WithDeadline(d.ctx, e.Deadline)
	defer cancel()
	start := time.Now()
	var ev reducer.ProbeAnswered
	if d.codec != nil {
		ev = d.readHealth(ctx, e)
	} else {
		ev = d.readLoad(ctx, e)
	}
	d.metrics.observeProbe(e.Service, ev.OK, start)
	d.post(func(s reducer.Stamp) reducer.Event {
		ev.Stamp = s
		return ev
	})
}

func (d *Driver) readLoad(ctx context.Context, e reducer.Probe) reducer.ProbeAnswered {
	ev := reducer.ProbeAnswered{Service: e.Service, Upstream: e.Upstream}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Address.String()+loadPath, http.NoBody)
	if err != nil {
		return ev
	}
	resp, err := d.probeTransport(e).RoundTrip(req)
	if err != nil {
		return ev
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil {
		return ev
	}
	ev.OK = resp.StatusCode == http.StatusOK
	ev.Draining = resp.Header.Get(headerDraining) != ""
	ev.Report = parseReport(resp.Header.Get(headerLoad))
	if ev.Report == nil {
		ev.Report = parseReport(strings.TrimSpace(string(body)))
	}
	return ev
}

// probeTransport returns the transport for a probe. An upstream without requests
// so far gets a pool of one connection, which the first request replaces.
func (d *Driver) probeTransport(e reducer.Probe) *http.Transport {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := poolKey{e.Service, e.Address.String()}
	p, ok := d.pools[key]
	if !ok {
		p = newPool(1)
		d.pools[key] = p
	}
	return p.keepAlive
}
