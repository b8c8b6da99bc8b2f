package parser

import (
	"strconv"
	"time"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// PatchKey describes one key of a patch file.
type PatchKey struct {
	// Section is the first word of the names of the sections that have the key.
	Section  string
	Key      string
	Type     string
	Unit     string
	Default  string
	Required bool
	// minValue and maxValue bound a number, or a period in nanoseconds.
	minValue, maxValue float64
	// format describes the values of keys that are neither numbers nor periods.
	format string
	Text   string
}

// Types of values in a patch file.
const (
	typeCount  = "whole number"
	typeNumber = "number"
	typePeriod = "period"
)

// Bounds of the values of a patch file that the configuration itself does not limit.
const (
	maxBase        = 1 << 62
	maxBudget      = 100_000
	maxEntries     = 1000
	maxUrgency     = 100
	maxQueue       = 1_000_000
	maxBody        = 16 << 30
	maxConnections = 100_000
	minPeriod      = float64(time.Millisecond)
	maxPeriod      = float64(24 * time.Hour)
)

const nameFormat = "1 to 63 of A-Z a-z 0-9 . _ -"

// PatchKeys returns the keys of all sections of a patch file. Sections that remove something have no keys.
func PatchKeys() []PatchKey { return append([]PatchKey(nil), patchKeys...) }

var patchKeys = []PatchKey{
	{Section: "Patch", Key: "Base", Type: typeCount, Required: true, maxValue: maxBase, Text: "version that the patch is against"},
	{Section: "Patch", Key: "ID", Type: "name", format: nameFormat, Text: "identifier; a fresh one if it is missing"},
	{Section: "Service", Key: "MeasuringBudget", Type: typeNumber, Unit: "per second", Required: true, maxValue: maxBudget, Text: "probes and load reads of all entries together"},
	{Section: "Service", Key: "MaxEntries", Type: typeCount, Default: "8", minValue: 1, maxValue: maxEntries, Text: "entries that share the measuring budget at most"},
	{Section: "Rank", Key: "Kind", Type: "word", Required: true, format: "Idempotent, OnceOnly", Text: "whether a request may run more than once"},
	{Section: "Rank", Key: "Urgency", Type: typeCount, Required: true, maxValue: maxUrgency, Text: "order of the ranks of a service; 0 is served first"},
	{Section: "Rank", Key: "Target", Type: typePeriod, Unit: unitPeriod, Required: true, minValue: minPeriod, maxValue: maxPeriod, Text: "window within which an answer is in time"},
	{Section: "Rank", Key: "Patience", Type: typePeriod, Unit: unitPeriod, Required: true, minValue: minPeriod, maxValue: maxPeriod, Text: "time to the deadline of a request; not below Target"},
	{Section: "Rank", Key: "Floor", Type: typeNumber, Unit: "share of the slots", Default: "0", maxValue: 1, Text: "what the rank keeps in any flood; at most 1 over all ranks"},
	{Section: "Rank", Key: "MaxQueue", Type: typeCount, Unit: "requests", Required: true, minValue: 1, maxValue: maxQueue, Text: "requests that wait at one entry"},
	{Section: "Rank", Key: "MaxBody", Type: typeCount, Unit: "bytes", Default: "0", maxValue: maxBody, Text: "largest request body"},
	{Section: "Upstream", Key: "Address", Type: "IP:port", Required: true, format: "port 1 to 65535", Text: "where the upstream listens"},
	{Section: "Upstream", Key: "DataCentre", Type: "name", Required: true, format: nameFormat, Text: "data centre of the upstream"},
	{Section: "Upstream", Key: "Slots", Type: typeCount, Unit: "requests", Required: true, minValue: 1, maxValue: patcher.MaxSlots, Text: "requests that it runs at once"},
	{Section: "Upstream", Key: "Connections", Type: typeCount, Required: true, minValue: 1, maxValue: maxConnections, Text: "connections that it accepts in all"},
	{Section: "Upstream", Key: "Draining", Type: "word", Default: "false", format: "true, false", Text: "true gives it no new work"},
}

// Bounds returns the allowed values of the key.
func (k PatchKey) Bounds() string {
	switch k.Type {
	case typeCount, typeNumber:
		return formatNumber(k.minValue) + " to " + formatNumber(k.maxValue)
	case typePeriod:
		return time.Duration(k.minValue).String() + " to " + time.Duration(k.maxValue).String()
	default:
		return k.format
	}
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func findKey(section, key string) PatchKey {
	for _, k := range patchKeys {
		if k.Section == section && k.Key == key {
			return k
		}
	}
	panic("parser: no patch key " + section + " " + key)
}
