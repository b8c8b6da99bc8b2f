package faker

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// LogMode selects a fault of the fake log.
type LogMode string

// The modes of the fake log.
const (
	LogUp LogMode = ""
	// LogDown refuses every request.
	LogDown LogMode = "Down"
	// LogLosesAnswers stores appended records and then closes the connection without a response.
	LogLosesAnswers LogMode = "LosesAnswers"
	// LogHangs doesn't respond until the client closes the connection.
	LogHangs LogMode = "Hangs"
)

const (
	maxPageRecords  = 1000
	maxPayloadBytes = 8 << 20
)

// Log is a fake of the platform's append-only log service.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	appends int
}

// LogFaults holds the faults of the fake log and its retention time.
type LogFaults struct {
	Mode LogMode
	// Latency delays each response.
	Latency Period
	// Retention is the age at which records expire; with 0 they never do.
	Retention Period
}

type stream struct {
	first   uint64
	records []storedRecord
}

type storedRecord struct {
	at      time.Time
	payload []byte
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{streams: make(map[string]*stream)} }

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// SetMode changes the mode and leaves the other faults as they are.
func (l *Log) SetMode(m LogMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.Mode = m
}

// SetLatency sets the delay of later responses.
func (l *Log) SetLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.Latency.Duration = d
}

// Expire removes the records of a stream below an offset.
func (l *Log) Expire(name string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for s.first < before && len(s.records) > 0 {
		s.drop()
	}
}

func (s *stream) drop() {
	s.records = s.records[1:]
	s.first++
}

// logCommand is the body of a control request.
type logCommand struct {
	LogFaults
	// Expire holds, by stream, the offset below which records are removed.
	Expire map[string]uint64
}

type logState struct {
	LogFaults
	Appends int
	// Tails holds the next offset of each stream.
	Tails map[string]uint64
}

func (l *Log) apply(c logCommand) {
	l.SetFaults(c.LogFaults)
	for name, before := range c.Expire {
		l.Expire(name, before)
	}
}

func (l *Log) state() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := logState{LogFaults: l.faults, Appends: l.appends, Tails: make(map[string]uint64)}
	for name, s := range l.streams {
		out.Tails[name] = s.first + uint64(len(s.records))
	}
	return out
}

// Handler returns an HTTP handler for the log and its control path.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/streams/{stream}", l)
	mux.HandleFunc(controlPath, func(w http.ResponseWriter, r *http.Request) {
		serveControl(w, r, l.apply, l.state)
	})
	return mux
}

// ServeHTTP handles appends and reads.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := l.fault()
	if f.Mode == LogHangs {
		// net/http detects a closed connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if !pause(r, f.Latency.Duration) {
		return
	}
	if f.Mode == LogDown {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	name := r.PathValue("stream")
	if r.Method == http.MethodPost {
		l.append(w, r, name, f.Mode)
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	if err != nil {
		http.Error(w, "From is not an offset", http.StatusBadRequest)
		return
	}
	writeJSON(w, l.page(name, from))
}

func (l *Log) fault() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

func (l *Log) append(w http.ResponseWriter, r *http.Request, name string, mode LogMode) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPayloadBytes))
	if err != nil {
		http.Error(w, "record can't be read", http.StatusRequestEntityTooLarge)
		return
	}
	l.mu.Lock()
	s := l.stream(name)
	s.records = append(s.records, storedRecord{time.Now(), payload})
	offset := s.first + uint64(len(s.records)) - 1
	l.appends++
	l.mu.Unlock()
	if mode == LogLosesAnswers {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, struct{ Offset uint64 }{offset})
}

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
	for p.Next < tail && len(p.Records) < maxPageRecords {
		p.Records = append(p.Records, logRecord{Offset: p.Next, Payload: s.records[p.Next-s.first].payload})
		p.Next++
	}
	return p
}

// stream returns a stream after removing its expired records.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	retention := l.faults.Retention.Duration
	for retention > 0 && len(s.records) > 0 && time.Since(s.records[0].at) > retention {
		s.drop()
	}
	return s
}
