package loader

import (
	"net/netip"
	"time"
)

// Rank is the load of one rank.
type Rank struct {
	Service  string
	Name     string
	OnceOnly bool
	// Rate is the mean number of requests a second; the gaps between them are exponential.
	Rate float64
	// Target is the window within which a correct answer counts.
	Target time.Duration
	// Patience is the time from the intended start to the deadline.
	Patience time.Duration
	// Body is the size of a request in bytes.
	Body  int
	Surge Surge
}

// Surge is a part of a run with another rate.
type Surge struct {
	// From and To count from the begin of the run; the surge is empty if they are equal.
	From time.Duration
	To   time.Duration
	// Rate replaces that of the rank, in requests a second.
	Rate float64
}

// Options describe a run.
type Options struct {
	Seeds []netip.AddrPort
	// Direct lists the upstreams of each service; if set, they get the requests in turn, without an entry.
	Direct map[string][]netip.AddrPort
	// DataCentres are those of the callers; each has its own client.
	DataCentres []string
	Ranks       []Rank
	Duration    time.Duration
	Seed        uint64
	// InFlight bounds the requests in progress; more are counted as not sent.
	InFlight int
	// Runs returns how often the work with a key ran at all upstreams; nil if that can't be counted.
	Runs func(key string) (int, error)
	// Progress is called about once a second.
	Progress func(Progress)
}

// Progress is the state of a run under way.
type Progress struct {
	Elapsed  time.Duration
	Offered  int
	Answered int
}

const (
	defaultInFlight  = 4096
	progressInterval = time.Second
)
