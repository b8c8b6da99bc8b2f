package parser

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

const validSettings = `[Entry]
Name = e1
DataCentre = north
[Listeners]
Callers = 10.0.0.1:8101
Peers = 10.0.0.1:8201
Administration = 127.0.0.1:8301
[Platform]
Log = 10.0.9.1:8001
HostList = 10.0.9.2:8002
[Peers]
Start = 10.0.0.2:8201, [fd00::3]:8201
[Operators]
alice = 0123456789abcdef;#%(x)s
`

// problemCodes lists the problems as "section/key code".
func problemCodes(err error) []string {
	var ps Problems
	if !errors.As(err, &ps) {
		return nil
	}
	var out []string
	for _, p := range ps {
		out = append(out, fmt.Sprintf("%s/%s %d", p.Section, p.Key, p.Code))
	}
	return out
}

// TestParse guards against wrong parsing of defaults, of lists, and of a token with special characters.
func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := Parse("e1.ini", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Start[1].String(), "[fd00::3]:8201")
	is.Equal(s.Operators, []Operator{{Name: "alice", Token: "0123456789abcdef;#%(x)s"}})
	is.Equal(s.Limits.PatchBody, int64(1<<20))
	is.Equal(s.LogLevel.String(), "info")
}

// TestParseProblems guards against invalid settings with which an entry would
// start, and against a report that stops at the first problem.
func TestParseProblems(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown section", "[Operators]", "[Operatosr]", "Operatosr/ 602"},
		{"unknown key", "Name = e1", "Name = e1\nname = e2", "Entry/name 602"},
		{"stray key", "[Entry]", "X = 1\n[Entry]", "/X 602"},
		{"missing key", "DataCentre = north", "", "Entry/DataCentre 603"},
		{"two problems", "Name = e1\nDataCentre = north", "Name = -", "Entry/Name 604,Entry/DataCentre 603"},
		{"host name", "10.0.0.1:8101", "entry.example:8101", "Listeners/Callers 604"},
		{"port 0", "10.0.9.1:8001", "10.0.9.1:0", "Platform/Log 604"},
		{"bad list", "[fd00::3]:8201", "fd00::3", "Peers/Start 604"},
		{"key twice", "Name = e1", "Name = e1\nName = e1", "Entry/Name 605"},
		{"section twice", "[Peers]", "[Entry]\nName = e2\n[Peers]", "Entry/ 605"},
		{"same address", "10.0.0.1:8201", "10.0.0.1:8101", "Listeners/Peers 605"},
		{"unspecified address", "10.0.0.1:8101", "0.0.0.0:8101", "Listeners/Callers 604"},
		{"short token", "0123456789abcdef;#%(x)s", "secret", "Operators/alice 604"},
		{"token twice", "[Operators]", "[Operators]\nbob = 0123456789abcdef;#%(x)s", "Operators/alice 605"},
		{"tokens without TLS", "127.0.0.1:8301", "10.0.0.1:8301", "Administration TLS/Certificate 605"},
		{"no key file", "[Peers]", "[Peer TLS]\nCertificate = c.pem\nAuthority = a.pem\n[Peers]", "Peer TLS/Key 603"},
		{"no authority for peers", "[Peers]", "[Peer TLS]\nCertificate = c.pem\nKey = k.pem\n[Peers]", "Peer TLS/Authority 603"},
		{"low limit", "[Peers]", "[Limits]\nHeader = 1\nIdle = 5\n[Peers]", "Limits/Header 604,Limits/Idle 604"},
		{"unknown log level", "[Peers]", "[Logging]\nLevel = loud\n[Peers]", "Logging/Level 604"},
		{"INI syntax", "[Entry]", "[Entry", "/ 601"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("e1.ini", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			is.Equal(strings.Join(problemCodes(err), ","), c.want)
		})
	}
}

const validPatch = `[Patch]
Base = 0
[Upstream Tickets/t1]
Address = 10.0.1.1:80
DataCentre = north
Slots = 6
Connections = 220
[Rank Tickets/Lookup]
Kind = Idempotent
Urgency = 0
Target = 50ms
Patience = 500ms
Floor = 0.3
MaxQueue = 200
[Service Tickets]
MeasuringBudget = 20
`

// TestParsePatch guards against a patch file that is parsed into wrong
// operations, and against sections that are accepted in only one order.
func TestParsePatch(t *testing.T) {
	is := is.New(t)
	p, err := ParsePatch("p.ini", []byte(validPatch))
	is.NoErr(err)
	c, err := new(patcher.Config).Apply(p)
	is.NoErr(err)
	s, _ := c.Service("Tickets")
	is.Equal(s.MaxEntries, 8)
	is.Equal(s.Ranks[0].Floor, 0.3)
	is.Equal(s.Upstreams[0].Connections, 220)

	p, err = ParsePatch("p.ini", []byte("[Patch]\nBase = 1\n[Service Tickets]\nMeasuringBudget = 5\n[Remove Upstream Tickets/t1]\n"))
	is.NoErr(err)
	c, err = c.Apply(p)
	is.NoErr(err)
	s, _ = c.Service("Tickets")
	is.Equal(len(s.Upstreams), 0)
	is.Equal(len(s.Ranks), 1) // changing a service's values must keep its ranks
	is.Equal(s.MeasuringBudget, 5.0)
}

// TestParsePatchProblems guards against an invalid patch file that is accepted and sent to an entry.
func TestParsePatchProblems(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"no base", "Base = 0", "", "Patch/Base 603"},
		{"bad base", "Base = 0", "Base = -1", "Patch/Base 604"},
		{"unknown section", "[Service Tickets]", "[Srevice Tickets]", "Srevice Tickets/ 602"},
		{"section in the plural", "[Service Tickets]", "[Services Tickets]", "Services Tickets/ 602"},
		{"unknown key", "Slots = 6", "Slots = 6\nSlot = 7", "Upstream Tickets/t1/Slot 602"},
		{"no upstream name", "[Upstream Tickets/t1]", "[Upstream Tickets]", "Upstream Tickets/ 604"},
		{"bad name", "[Upstream Tickets/t1]", "[Upstream Tickets/t 1]", "Upstream Tickets/t 1/ 604"},
		{"unknown kind", "Idempotent", "Twice", "Rank Tickets/Lookup/Kind 604"},
		{"no unit", "50ms", "50", "Rank Tickets/Lookup/Target 604"},
		{"patience below target", "500ms", "5ms", "Rank Tickets/Lookup/Patience 605"},
		{"not a number", "Floor = 0.3", "Floor = NaN", "Rank Tickets/Lookup/Floor 604"},
		{"removed and put", "[Service Tickets]", "[Remove Upstream Tickets/t1]\n[Service Tickets]", "Remove Upstream Tickets/t1/ 605"},
		{"parts of a removed service", "[Service Tickets]\nMeasuringBudget = 20", "[Remove Service Tickets]", "Remove Service Tickets/ 605,Remove Service Tickets/ 605"},
		{"remove with keys", "[Service Tickets]", "[Remove Rank Tickets/Bulk]", "Remove Rank Tickets/Bulk/MeasuringBudget 602"},
		{"two problems", "Slots = 6\nConnections = 220", "Slots = 0", "Upstream Tickets/t1/Slots 604,Upstream Tickets/t1/Connections 603"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParsePatch("p.ini", []byte(strings.Replace(validPatch, c.old, c.new, 1)))
			is.Equal(strings.Join(problemCodes(err), ","), c.want)
		})
	}
}

// FuzzParse guards against a panic, against a problem without a known code, and against
// settings that are accepted without a required value.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[Entry]\n- = 1\n`a`=`b\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		checkProblems(t, err)
		if err == nil && (!s.Callers.IsValid() || s.Name == "" || s.Limits.Idle <= 0) {
			t.Fatal("settings without a required value were accepted")
		}
	})
}

// FuzzParsePatch guards against a panic, and against an accepted patch that
// changes when it is encoded for the log and decoded again.
func FuzzParsePatch(f *testing.F) {
	f.Add([]byte(validPatch))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := ParsePatch("f", data)
		checkProblems(t, err)
		if err != nil {
			return
		}
		wire, err := p.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		var decoded patcher.Patch
		if err := decoded.UnmarshalJSON(wire); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(decoded) != fmt.Sprint(p) {
			t.Fatalf("patch %v was decoded as %v", p, decoded)
		}
	})
}

func checkProblems(t *testing.T, err error) {
	t.Helper()
	var ps Problems
	if err == nil {
		return
	}
	if !errors.As(err, &ps) || len(ps) == 0 {
		t.Fatalf("error %v is not of type Problems, or is empty", err)
	}
	for _, p := range ps {
		if p.Code == classifier.OK || !p.Code.Known() {
			t.Fatalf("problem without a known code: %v", p)
		}
	}
}
