package parser

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// row reads the keys of one section and notes which are used.
type row struct {
	file    *file
	section section
	// word is the first of the section's name.
	word string
	used map[string]bool
}

func (f *file) row(s section) *row {
	word, _, _ := strings.Cut(s.name, " ")
	return &row{file: f, section: s, word: word, used: make(map[string]bool)}
}

// finish reports the keys that were not used.
func (r *row) finish() {
	for _, k := range r.section.keys {
		if !r.used[k] {
			r.file.add(r.section.name, k, classifier.UnknownKey, "the key is not known")
		}
	}
}

// take parses a key and reports what the parser returns; a missing key gives the zero value.
func take[T any](r *row, key string, parse func(string, PatchKey) (T, error)) T {
	var zero T
	spec := findKey(r.word, key)
	r.used[key] = true
	v := r.section.values[key]
	if v == "" && spec.Required {
		r.file.add(r.section.name, key, classifier.MissingKey, "the key is required")
		return zero
	}
	if v == "" {
		v = spec.Default
	}
	if v == "" {
		return zero
	}
	x, err := parse(v, spec)
	if err != nil {
		r.file.add(r.section.name, key, classifier.BadValue, "%s", err)
		return zero
	}
	return x
}

func (r *row) count(key string) int64 {
	return take(r, key, func(s string, k PatchKey) (int64, error) { return parseInt(s, int64(k.least), int64(k.most)) })
}

func (r *row) number(key string) float64 {
	return take(r, key, func(s string, k PatchKey) (float64, error) { return parseFloat(s, k.least, k.most) })
}

func (r *row) period(key string) patcher.Period {
	d := take(r, key, func(s string, k PatchKey) (time.Duration, error) {
		return parsePeriod(s, time.Duration(k.least), time.Duration(k.most))
	})
	return patcher.Period{Duration: d}
}

func (r *row) address(key string) netip.AddrPort {
	return take(r, key, func(s string, _ PatchKey) (netip.AddrPort, error) { return parseAddress(s) })
}

func (r *row) flag(key string) bool {
	return take(r, key, func(s string, _ PatchKey) (bool, error) { return parseBool(s) })
}

func (r *row) name(key string) string {
	return take(r, key, func(s string, _ PatchKey) (string, error) { return parseName(s) })
}

func (r *row) kind(key string) patcher.Kind {
	return take(r, key, func(s string, _ PatchKey) (patcher.Kind, error) { return parseKind(s) })
}

func (f *file) service(s section, name string) patcher.Operation {
	r := f.row(s)
	op := patcher.EditService{Name: name, MeasuringBudget: r.number("MeasuringBudget"), MaxEntries: int(r.count("MaxEntries"))}
	r.finish()
	return op
}

func (f *file) rank(s section, service, name string) patcher.Operation {
	r := f.row(s)
	op := patcher.PutRank{InService: service, Rank: patcher.Rank{
		Name:     name,
		Kind:     r.kind("Kind"),
		Urgency:  int(r.count("Urgency")),
		Target:   r.period("Target"),
		Patience: r.period("Patience"),
		Floor:    r.number("Floor"),
		MaxQueue: int(r.count("MaxQueue")),
		MaxBody:  r.count("MaxBody"),
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
		DataCentre:  r.name("DataCentre"),
		Slots:       int(r.count("Slots")),
		Connections: int(r.count("Connections")),
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
