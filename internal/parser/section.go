package parser

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// sectionReader parses the keys of one section and records which of them were read.
type sectionReader struct {
	file    *file
	section section
	// sectionType is the first word of the section's name.
	sectionType string
	used        map[string]bool
}

func (f *file) reader(s section) *sectionReader {
	sectionType, _, _ := strings.Cut(s.name, " ")
	return &sectionReader{file: f, section: s, sectionType: sectionType, used: make(map[string]bool)}
}

// reportUnused reports the keys that were not read as unknown.
func (r *sectionReader) reportUnused() {
	for _, k := range r.section.keys {
		if !r.used[k] {
			r.file.addProblem(r.section.name, k, classifier.UnknownKey, "unknown key")
		}
	}
}

// readKey parses a key and reports an error of parse as a problem; a missing key
// without a default gives the zero value.
func readKey[T any](r *sectionReader, key string, parse func(string, PatchKey) (T, error)) T {
	var zero T
	spec := findKey(r.sectionType, key)
	r.used[key] = true
	v := r.section.values[key]
	if v == "" && spec.Required {
		r.file.addProblem(r.section.name, key, classifier.MissingKey, "the key is required")
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
		r.file.addProblem(r.section.name, key, classifier.BadValue, "%s", err)
		return zero
	}
	return x
}

func (r *sectionReader) count(key string) int64 {
	return readKey(r, key, func(s string, k PatchKey) (int64, error) { return parseInt(s, int64(k.minValue), int64(k.maxValue)) })
}

func (r *sectionReader) number(key string) float64 {
	return readKey(r, key, func(s string, k PatchKey) (float64, error) { return parseFloat(s, k.minValue, k.maxValue) })
}

func (r *sectionReader) period(key string) patcher.Period {
	d := readKey(r, key, func(s string, k PatchKey) (time.Duration, error) {
		return parsePeriod(s, time.Duration(k.minValue), time.Duration(k.maxValue))
	})
	return patcher.Period{Duration: d}
}

func (r *sectionReader) address(key string) netip.AddrPort {
	return readKey(r, key, func(s string, _ PatchKey) (netip.AddrPort, error) { return parseAddress(s) })
}

func (r *sectionReader) flag(key string) bool {
	return readKey(r, key, func(s string, _ PatchKey) (bool, error) { return parseBool(s) })
}

func (r *sectionReader) name(key string) string {
	return readKey(r, key, func(s string, _ PatchKey) (string, error) { return parseName(s) })
}

func (r *sectionReader) kind(key string) patcher.Kind {
	return readKey(r, key, func(s string, _ PatchKey) (patcher.Kind, error) { return parseKind(s) })
}

func (f *file) serviceOperation(s section, name string) patcher.Operation {
	r := f.reader(s)
	op := patcher.EditService{Name: name, MeasuringBudget: r.number("MeasuringBudget"), MaxEntries: int(r.count("MaxEntries"))}
	r.reportUnused()
	return op
}

func (f *file) rankOperation(s section, service, name string) patcher.Operation {
	r := f.reader(s)
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
		f.addProblem(s.name, "Patience", classifier.Contradiction, "shorter than Target")
	}
	r.reportUnused()
	return op
}

func (f *file) upstreamOperation(s section, service, name string) patcher.Operation {
	r := f.reader(s)
	op := patcher.PutUpstream{InService: service, Upstream: patcher.Upstream{
		Name:        name,
		Address:     r.address("Address"),
		DataCentre:  r.name("DataCentre"),
		Slots:       int(r.count("Slots")),
		Connections: int(r.count("Connections")),
		Draining:    r.flag("Draining"),
	}}
	r.reportUnused()
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
