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
	// Rate is the mean number of requests per second; the intervals are exponentially distributed.
	Rate float64
	// Target is the latency up to which a correct response counts as within target.
	Target time.Duration
	// Patience is the time from the intended start to the deadline.
	Patience time.Duration
	// Body is the size of a request in bytes.
	Body  int
	Surge Surge
}

// Surge is a period of a run with a different rate.
type Surge struct {
	// From and To are offsets from the beginning of the run; the surge is empty if they are equal.
	From time.Duration
	To   time.Duration
	// Rate replaces the rank's rate, in requests per second.
	Rate float64
}

// Options configures a run.
type Options struct {
	Seeds []netip.AddrPort
	// Direct lists the upstreams of each service; if set, requests go to them round robin, without an entry.
	Direct map[string][]netip.AddrPort
	// DataCentres lists the data centres of the callers; each has its own client.
	DataCentres []string
	Ranks       []Rank
	Duration    time.Duration
	Seed        uint64
	// InFlight bounds the requests in flight; requests beyond it are counted as not sent.
	InFlight int
	// Runs returns the number of executions of a key at all upstreams together; nil if they can't be counted.
	Runs func(key string) (int, error)
	// Progress is called about once a second.
	Progress func(Progress)
}

// Progress is the state of a run in progress.
type Progress struct {
	Elapsed  time.Duration
	Offered  int
	Answered int
}

const (
	defaultInFlight  = 4096
	progressInterval = time.Second
)
