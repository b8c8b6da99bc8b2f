package faker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// LogMode is a fault of the log stand-in.
type LogMode uint8

// The modes of the log stand-in.
const (
	LogUp LogMode = iota
	// LogDown refuses every call.
	LogDown
	// LogLosesAnswers takes appends and then fails to answer.
	LogLosesAnswers
)

const maxPage = 1000

// Log is a stand-in of the platform's append-only log service.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	mode    LogMode
	// Latency delays each answer.
	latency time.Duration
}

type stream struct {
	first   uint64
	records [][]byte
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{streams: make(map[string]*stream)} }

// SetMode changes the fault of the log.
func (l *Log) SetMode(m LogMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
}

// SetLatency delays every later answer.
func (l *Log) SetLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = d
}

// Expire drops the records of a stream below an offset.
func (l *Log) Expire(name string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for s.first < before && len(s.records) > 0 {
		s.records = s.records[1:]
		s.first++
	}
}

// ServeHTTP answers appends and reads.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mode, latency := l.fault()
	if !pause(r, latency) {
		return
	}
	if mode == LogDown {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	name := r.PathValue("stream")
	if r.Method == http.MethodPost {
		l.append(w, r, name, mode)
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	if err != nil {
		http.Error(w, "From is not an offset", http.StatusBadRequest)
		return
	}
	writeJSON(w, l.page(name, from))
}

// Handler returns the log's HTTP interface.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/streams/{stream}", l)
	return mux
}

func (l *Log) fault() (LogMode, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.latency
}

func (l *Log) append(w http.ResponseWriter, r *http.Request, name string, mode LogMode) {
	payload, err := io.ReadAll(io.LimitReader(r.Body, maxPayload))
	if err != nil {
		return
	}
	l.mu.Lock()
	s := l.stream(name)
	s.records = append(s.records, payload)
	offset := s.first + uint64(len(s.records)) - 1
	l.mu.Unlock()
	if mode == LogLosesAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, struct{ Offset uint64 }{offset})
}

const maxPayload = 8 << 20

type page struct {
	First, Next, Tail uint64
	Records           []logRecord
}

type logRecord struct {
	Offset  uint64
	Payload []byte
}

func (l *Log) page(name string, from uint64) page {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	tail := s.first + uint64(len(s.records))
	from = min(max(from, s.first), tail)
	p := page{First: s.first, Next: from, Tail: tail}
	for p.Next < tail && len(p.Records) < maxPage {
		p.Records = append(p.Records, logRecord{Offset: p.Next, Payload: s.records[p.Next-s.first]})
		p.Next++
	}
	return p
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// pause waits for d; it reports false if the client left meanwhile.
func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
