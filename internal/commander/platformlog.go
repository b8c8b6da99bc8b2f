package commander

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/azuretrestle/azuretrestle/platform"
)

const (
	// sampleFirst is the number of lines of one message that are logged each second;
	// beyond that, one line in sampleThereafter is logged.
	sampleFirst      = 20
	sampleThereafter = 50
	// maxQueuedLines is the capacity of the queue of lines to be written.
	maxQueuedLines = 2048
)

// lineWriter writes lines in its own goroutine, so that a slow or closed reader of the log
// never blocks a request. Lines that arrive while the queue is full are dropped and counted.
type lineWriter struct {
	lines   chan []byte
	dropped *atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

func newLineWriter(w io.Writer, dropped *atomic.Uint64) *lineWriter {
	l := &lineWriter{lines: make(chan []byte, maxQueuedLines), dropped: dropped, stop: make(chan struct{}), done: make(chan struct{})}
	go l.run(w)
	return l
}

// run writes lines until close is called, then the lines left in the queue.
func (l *lineWriter) run(w io.Writer) {
	defer close(l.done)
	for {
		select {
		case b := <-l.lines:
			_, _ = w.Write(b)
		case <-l.stop:
			l.flush(w)
			return
		}
	}
}

func (l *lineWriter) flush(w io.Writer) {
	for {
		select {
		case b := <-l.lines:
			_, _ = w.Write(b)
		default:
			return
		}
	}
}

// Write queues a copy of a line, or drops it if the queue is full; it never fails.
func (l *lineWriter) Write(b []byte) (int, error) {
	line := make([]byte, len(b))
	copy(line, b)
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// close waits until the queued lines are written; later lines are lost.
func (l *lineWriter) close() {
	close(l.stop)
	<-l.done
}

// platformLog is the structured log of an entry on the platform.
type platformLog struct {
	*zap.Logger
	writer *lineWriter
	// dropped counts lines lost because the queue was full, omitted those left out by sampling.
	dropped, omitted atomic.Uint64
}

// newPlatformLog returns a log that writes JSON lines to w.
func newPlatformLog(w io.Writer, s *platform.Settings) *platformLog {
	p := &platformLog{}
	p.writer = newLineWriter(w, &p.dropped)
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "Time"
	config.LevelKey = "Level"
	config.MessageKey = "Message"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(p.writer), zapcore.InfoLevel)
	core = zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter, zapcore.SamplerHook(p.countOmitted))
	p.Logger = zap.New(core).With(zap.String("Entry", s.Name))
	return p
}

func (p *platformLog) countOmitted(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		p.omitted.Add(1)
	}
}

// collectors returns the counters of dropped and omitted lines.
func (p *platformLog) collectors() []prometheus.Collector {
	counter := func(name, help string, v *atomic.Uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "azuretrestle", Name: name, Help: help}, func() float64 { return float64(v.Load()) })
	}
	return []prometheus.Collector{
		counter("log_lines_dropped_total", "Log lines that found no room to wait.", &p.dropped),
		counter("log_lines_omitted_total", "Log lines beyond the rate of their message.", &p.omitted),
	}
}
