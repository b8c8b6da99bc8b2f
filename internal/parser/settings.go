package parser

import (
	"net/netip"
	"os"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// Settings are the settings that an entry reads at its start.
type Settings struct {
	// Name identifies the entry and stays the same when its host restarts.
	Name       string
	DataCentre string
	// Callers, Peers and Administration are the addresses on which the entry listens and is reached.
	Callers        netip.AddrPort
	Peers          netip.AddrPort
	Administration netip.AddrPort
	// Start lists the peer addresses of the seed entries, which the entry contacts first.
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

// TLS names the certificate files of one listener; all fields are empty if it does not use TLS.
type TLS struct {
	Certificate string
	Key         string
	// Authority is the file of the certificate authorities whose peer certificates are accepted.
	Authority string
}

// Enabled reports whether the listener uses TLS.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Operator is a person or program that may change the configuration.
type Operator struct {
	Name  string
	Token string
}

// Limits bounds the requests of callers and operators, and the duration of a planned stop.
type Limits struct {
	// Header is the maximum size of a request header in bytes.
	Header int
	// HeaderPatience is the timeout for reading a request header from a caller.
	HeaderPatience time.Duration
	// Idle is the timeout after which an unused connection of a caller is closed.
	Idle time.Duration
	// PatchBody is the maximum size of a patch in bytes.
	PatchBody int64
	// PatchPatience is the timeout for the result of a patch.
	PatchPatience time.Duration
	// StopPatience is the timeout of a planned stop.
	StopPatience time.Duration
}

// Load reads settings from a file; its error is of type Problems.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Problems{{File: path, Code: classifier.UnreadableFile, Text: err.Error()}}
	}
	return Parse(path, data)
}

// Parse parses settings from data; problems refer to the file by name. Its error is of type Problems.
func Parse(name string, data []byte) (*Settings, error) {
	f := parseFile(name, data)
	if len(f.problems) > 0 && len(f.sections) == 0 {
		return nil, f.problems
	}
	s := &Settings{}
	f.checkKnownKeys()
	for _, setting := range settings {
		f.assignSetting(s, setting)
	}
	f.readOperators(s)
	f.checkConflicts(s)
	if err := f.problems.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// assignSetting sets one setting from the file, or from its default.
func (f *file) assignSetting(s *Settings, setting Setting) {
	v, ok := f.findSection(setting.Section).values[setting.Key]
	if !ok || v == "" {
		if setting.Required {
			f.addProblem(setting.Section, setting.Key, classifier.MissingKey, "the key is required")
			return
		}
		v = setting.Default
	}
	if v == "" {
		return
	}
	if err := setting.assign(s, v); err != nil {
		f.addProblem(setting.Section, setting.Key, classifier.BadValue, "%s", err)
	}
}

func (f *file) checkKnownKeys() {
	known := make(map[string]map[string]bool)
	for _, setting := range settings {
		if known[setting.Section] == nil {
			known[setting.Section] = make(map[string]bool)
		}
		known[setting.Section][setting.Key] = true
	}
	for _, s := range f.sections {
		if s.name == sectionOperators {
			continue
		}
		if known[s.name] == nil {
			f.addProblem(s.name, "", classifier.UnknownKey, "unknown section")
			continue
		}
		for _, k := range s.keys {
			if !known[s.name][k] {
				f.addProblem(s.name, k, classifier.UnknownKey, "unknown key")
			}
		}
	}
}
