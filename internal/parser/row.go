package parser

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// required stands in place of a default.
const required = "\x00"

// maxPeriod bounds the periods of a patch.
const maxPeriod = 24 * time.Hour

// row reads the keys of one section and notes which are used.
type row struct {
	file    *file
	section section
	used    map[string]bool
}

func (f *file) row(s section) *row { return &row{file: f, section: s, used: make(map[string]bool)} }

func (r *row) bad(key, format string, args ...any) {
	r.file.add(r.section.name, key, classifier.BadValue, "%s", fmt.Sprintf(format, args...))
}

// finish reports the keys that were not used.
func (r *row) finish() {
	for _, k := range r.section.keys {
		if !r.used[k] {
			r.file.add(r.section.name, k, classifier.UnknownKey, "the key is not known")
		}
	}
}

// value returns the text of a key; ok is false if a required one is missing.
func (r *row) value(key, standard string) (text string, ok bool) {
	r.used[key] = true
	v := r.section.values[key]
	if v != "" {
		return v, true
	}
	if standard == required {
		r.file.add(r.section.name, key, classifier.MissingKey, "the key is required")
		return "", false
	}
	return standard, true
}

func (r *row) text(key, standard string) string {
	v, _ := r.value(key, standard)
	return v
}

// take parses a key and reports what the parser returns.
func take[T any](r *row, key, standard string, parse func(string) (T, error)) T {
	var zero T
	v, ok := r.value(key, standard)
	if !ok {
		return zero
	}
	x, err := parse(v)
	if err != nil {
		r.bad(key, "%s", err)
		return zero
	}
	return x
}

func (r *row) count(key, standard string, least, most int64) int64 {
	return take(r, key, standard, func(s string) (int64, error) { return parseInt(s, least, most) })
}

func (r *row) number(key, standard string, least, most float64) float64 {
	return take(r, key, standard, func(s string) (float64, error) { return parseFloat(s, least, most) })
}

func (r *row) period(key string) patcher.Period {
	parse := func(s string) (time.Duration, error) { return parsePeriod(s, time.Millisecond, maxPeriod) }
	return patcher.Period{Duration: take(r, key, required, parse)}
}

func (r *row) address(key string) netip.AddrPort { return take(r, key, required, parseAddress) }

func (r *row) flag(key string) bool { return take(r, key, "false", parseBool) }

// Bounds of the values of a patch that the configuration itself leaves open.
const (
	maxBudget   = 100_000
	maxEntries  = 1000
	maxUrgency  = 100
	maxQueue    = 1_000_000
	maxBody     = 16 << 30
	maxPerHost  = 100_000
	usualSpread = "8"
)

func (f *file) service(s section, name string) patcher.Operation {
	r := f.row(s)
	op := patcher.EditService{
		Name:            name,
		MeasuringBudget: r.number("MeasuringBudget", required, 0, maxBudget),
		MaxEntries:      int(r.count("MaxEntries", usualSpread, 1, maxEntries)),
	}
	r.finish()
	return op
}

func (f *file) rank(s section, service, name string) patcher.Operation {
	r := f.row(s)
	op := patcher.PutRank{InService: service, Rank: patcher.Rank{
		Name:     name,
		Kind:     take(r, "Kind", required, parseKind),
		Urgency:  int(r.count("Urgency", required, 0, maxUrgency)),
		Target:   r.period("Target"),
		Patience: r.period("Patience"),
		Floor:    r.number("Floor", "0", 0, 1),
		MaxQueue: int(r.count("MaxQueue", required, 1, maxQueue)),
		MaxBody:  r.count("MaxBody", "0", 0, maxBody),
	}}
	if op.Target.Duration > 0 && op.Patience.Duration > 0 && op.Patience.Duration < op.Target.Duration {
		f.add(s.name, "Patience", classifier.Contradiction, "shorter than Target")
	}
	r.finish()
	return op
}

func (f *file) upstream(s section, service, name string) patcher.Operation {
	r := f.row(s)
	op := patcher.PutUpstream{InService: service, Upstream: patcher.Upstream{
		Name:        name,
		Address:     r.address("Address"),
		DataCentre:  take(r, "DataCentre", required, parseName),
		Slots:       int(r.count("Slots", required, 1, patcher.MaxSlots)),
		Connections: int(r.count("Connections", required, 1, maxPerHost)),
		Draining:    r.flag("Draining"),
	}}
	r.finish()
	return op
}

func parseKind(s string) (patcher.Kind, error) {
	switch k := patcher.Kind(s); k {
	case patcher.Idempotent, patcher.OnceOnly:
		return k, nil
	default:
		return "", fmt.Errorf("%q is not Idempotent or OnceOnly", s)
	}
}
