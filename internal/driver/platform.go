package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/internal/recorder"
	"github.com/azuretrestle/azuretrestle/internal/reducer"
)

func (d *Driver) readLog(e reducer.ReadLog) {
	ctx, cancel := context.WithDeadline(d.ctx, e.Deadline)
	defer cancel()
	asked := time.Now()
	page, err := d.log.Read(ctx, e.Stream, e.From)
	d.post(func(s reducer.Stamp) reducer.Event {
		if err != nil {
			return reducer.LogFailed{Stamp: s, Stream: e.Stream}
		}
		return logRead(s, e.Stream, asked, page)
	})
}

func logRead(s reducer.Stamp, stream string, asked time.Time, p recorder.Page) reducer.LogRead {
	ev := reducer.LogRead{Stamp: s, Stream: stream, AskedAt: asked, First: p.First, Next: p.Next, Tail: p.Tail}
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
