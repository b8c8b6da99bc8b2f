package parser

import (
	"net/netip"
	"os"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// Settings are what an entry reads once at its start.
type Settings struct {
	// Name identifies the entry and outlives restarts of its host.
	Name       string
	DataCentre string
	// Callers, Peers and Administration are the addresses to listen on and to be reached at.
	Callers        netip.AddrPort
	Peers          netip.AddrPort
	Administration netip.AddrPort
	// Start lists the peer addresses of entries to ask first.
	Start    []netip.AddrPort
	Log      netip.AddrPort
	HostList netip.AddrPort
	// LogRetention is how long the log keeps records.
	LogRetention time.Duration
	PeerTLS      TLS
	AdminTLS     TLS
	Operators    []Operator
	Limits       Limits
	LogLevel     zapcore.Level
}

// TLS names the files of one listener; all are empty if it is not encrypted.
type TLS struct {
	Certificate string
	Key         string
	// Authority is the file of the authorities whose peer certificates are accepted.
	Authority string
}

// Enabled reports whether the listener is encrypted.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Operator is a person or program that may change the configuration.
type Operator struct {
	Name  string
	Token string
}

// Limits bounds what callers and operators can take from an entry.
type Limits struct {
	// Header is the largest header of a request in bytes.
	Header int
	// HeaderPatience is the time a caller has to send its header.
	HeaderPatience time.Duration
	// Idle is how long a caller's connection may stay unused.
	Idle time.Duration
	// PatchBody is the largest patch in bytes.
	PatchBody int64
	// PatchPatience is how long an operator waits for the verdict on a patch.
	PatchPatience time.Duration
	// StopPatience bounds a planned stop.
	StopPatience time.Duration
}

// Load reads settings from a file; its error is Problems.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Problems{{File: path, Code: classifier.UnreadableFile, Text: err.Error()}}
	}
	return Parse(path, data)
}

// Parse reads settings from data and names the file in problems; its error is Problems.
func Parse(name string, data []byte) (*Settings, error) {
	f := read(name, data)
	if len(f.problems) > 0 && len(f.sections) == 0 {
		return nil, f.problems
	}
	s := &Settings{}
	f.checkKnown()
	for _, set := range settings {
		f.take(s, set)
	}
	f.takeOperators(s)
	f.contradictions(s)
	if err := f.problems.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// take sets one setting from the file, or from its default.
func (f *file) take(s *Settings, set Setting) {
	v, ok := f.find(set.Section).values[set.Key]
	if !ok || v == "" {
		if set.Required {
			f.add(set.Section, set.Key, classifier.MissingKey, "the key is required")
			return
		}
		v = set.Default
	}
	if v == "" {
		return
	}
	if err := set.assign(s, v); err != nil {
		f.add(set.Section, set.Key, classifier.BadValue, "%s", err)
	}
}

func (f *file) checkKnown() {
	known := make(map[string]map[string]bool)
	for _, set := range settings {
		if known[set.Section] == nil {
			known[set.Section] = make(map[string]bool)
		}
		known[set.Section][set.Key] = true
	}
	for _, s := range f.sections {
		if s.name == sectionOperators {
			continue
		}
		if known[s.name] == nil {
			f.add(s.name, "", classifier.UnknownKey, "the section is not known")
			continue
		}
		for _, k := range s.keys {
			if !known[s.name][k] {
				f.add(s.name, k, classifier.UnknownKey, "the key is not known")
			}
		}
	}
}
