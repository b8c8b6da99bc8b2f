package parser

import (
	"strconv"
	"time"
)

// Setting describes one key of a settings file.
type Setting struct {
	Section  string
	Key      string
	Type     string
	Unit     string
	Default  string
	Bounds   string
	Required bool
	Text     string
	assign   func(*Settings, string) error
}

// Names of sections that are used in more than one place.
const (
	sectionListeners = "Listeners"
	sectionPeerTLS   = "Peer TLS"
	sectionAdminTLS  = "Administration TLS"
	sectionOperators = "Operators"

	unitPeriod = "written: ms, s, m, h"
)

// AllSettings returns all settings except those of the section Operators, whose keys are the operators' names.
func AllSettings() []Setting { return append([]Setting(nil), settings...) }

var settings = []Setting{
	nameSetting("Entry", "Name", "name of the entry; it stays the same when the host is replaced", func(s *Settings) *string { return &s.Name }),
	nameSetting("Entry", "DataCentre", "data centre of the host", func(s *Settings) *string { return &s.DataCentre }),
	addressSetting(sectionListeners, "Callers", "where callers reach the entry", func(s *Settings, v string) (err error) {
		s.Callers, err = parseAddress(v)
		return err
	}),
	addressSetting(sectionListeners, "Peers", "where other entries reach the entry", func(s *Settings, v string) (err error) {
		s.Peers, err = parseAddress(v)
		return err
	}),
	addressSetting(sectionListeners, "Administration", "where operators and monitoring reach the entry", func(s *Settings, v string) (err error) {
		s.Administration, err = parseAddress(v)
		return err
	}),
	addressSetting("Platform", "Log", "the platform's log service", func(s *Settings, v string) (err error) {
		s.Log, err = parseAddress(v)
		return err
	}),
	addressSetting("Platform", "HostList", "the platform's host list", func(s *Settings, v string) (err error) {
		s.HostList, err = parseAddress(v)
		return err
	}),
	periodSetting("Platform", "LogRetention", 24*time.Hour, time.Minute, 8760*time.Hour, "how long the log keeps records; checkpoints are written well before", func(s *Settings) *time.Duration { return &s.LogRetention }),
	{
		Section: "Peers", Key: "Start", Type: "IP:port, ...", Text: "peer addresses of entries to ask first; its own address is skipped",
		assign: func(s *Settings, v string) (err error) {
			s.Start, err = parseAddresses(v)
			return err
		},
	},
	pathSetting(sectionPeerTLS, "Certificate", "certificate file in PEM form", func(s *Settings) *string { return &s.PeerTLS.Certificate }),
	pathSetting(sectionPeerTLS, "Key", "private key file in PEM form", func(s *Settings) *string { return &s.PeerTLS.Key }),
	pathSetting(sectionPeerTLS, "Authority", "file of the authorities that sign peers' certificates", func(s *Settings) *string { return &s.PeerTLS.Authority }),
	pathSetting(sectionAdminTLS, "Certificate", "certificate file in PEM form", func(s *Settings) *string { return &s.AdminTLS.Certificate }),
	pathSetting(sectionAdminTLS, "Key", "private key file in PEM form", func(s *Settings) *string { return &s.AdminTLS.Key }),
	countSetting("Limits", "Header", "bytes", 65536, 4096, 1<<20, "largest header of a caller's request", func(s *Settings, n int64) { s.Limits.Header = int(n) }),
	periodSetting("Limits", "HeaderPatience", 5*time.Second, 100*time.Millisecond, time.Minute, "time a caller has to send its header", func(s *Settings) *time.Duration { return &s.Limits.HeaderPatience }),
	periodSetting("Limits", "Idle", 2*time.Minute, time.Second, time.Hour, "time after which an unused connection of a caller is closed", func(s *Settings) *time.Duration { return &s.Limits.Idle }),
	countSetting("Limits", "PatchBody", "bytes", 1<<20, 1024, 8<<20, "largest patch", func(s *Settings, n int64) { s.Limits.PatchBody = n }),
	periodSetting("Limits", "PatchPatience", 15*time.Second, time.Second, time.Minute, "time an operator waits for the verdict on a patch", func(s *Settings) *time.Duration { return &s.Limits.PatchPatience }),
	periodSetting("Limits", "StopPatience", 5*time.Minute, 10*time.Second, time.Hour, "time after which a planned stop ends even with requests in progress", func(s *Settings) *time.Duration { return &s.Limits.StopPatience }),
	{
		Section: "Logging", Key: "Level", Type: "word", Default: "info", Bounds: "debug, info, warn, error", Text: "least severe level that is logged",
		assign: func(s *Settings, v string) error { return s.LogLevel.Set(v) },
	},
}

func nameSetting(section, key, text string, field func(*Settings) *string) Setting {
	return Setting{
		Section: section, Key: key, Type: "name", Bounds: nameFormat, Required: true, Text: text,
		assign: func(s *Settings, v string) (err error) {
			*field(s), err = parseName(v)
			return err
		},
	}
}

func addressSetting(section, key, text string, assign func(*Settings, string) error) Setting {
	return Setting{Section: section, Key: key, Type: "IP:port", Bounds: "port 1 to 65535", Required: true, Text: text, assign: assign}
}

func pathSetting(section, key, text string, field func(*Settings) *string) Setting {
	return Setting{
		Section: section, Key: key, Type: "path", Text: text,
		assign: func(s *Settings, v string) error {
			*field(s) = v
			return nil
		},
	}
}

func countSetting(section, key, unit string, defaultValue, minValue, maxValue int64, text string, assign func(*Settings, int64)) Setting {
	return Setting{
		Section: section, Key: key, Type: "whole number", Unit: unit, Default: strconv.FormatInt(defaultValue, 10),
		Bounds: strconv.FormatInt(minValue, 10) + " to " + strconv.FormatInt(maxValue, 10), Text: text,
		assign: func(s *Settings, v string) error {
			n, err := parseInt(v, minValue, maxValue)
			assign(s, n)
			return err
		},
	}
}

func periodSetting(section, key string, defaultValue, minValue, maxValue time.Duration, text string, field func(*Settings) *time.Duration) Setting {
	return Setting{
		Section: section, Key: key, Type: "period", Unit: unitPeriod, Default: defaultValue.String(),
		Bounds: minValue.String() + " to " + maxValue.String(), Text: text,
		assign: func(s *Settings, v string) (err error) {
			*field(s), err = parsePeriod(v, minValue, maxValue)
			return err
		},
	}
}
