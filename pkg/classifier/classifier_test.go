package classifier

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestResultsPage guards against a code that differs from docs/RESULTS.md or is missing there.
func TestResultsPage(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../docs/RESULTS.md")
	is.NoErr(err)
	var got, want []string
	for line := range strings.SplitSeq(string(raw), "\n") {
		if len(line) > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9' {
			got = append(got, line)
		}
	}
	names := make(map[string]bool)
	for _, c := range Codes() {
		want = append(want, fmt.Sprintf("| %d | %s | %d | %s |", c, c, c.Status(), c.Text()))
		is.True(!names[c.String()]) // two codes have the same name
		names[c.String()] = true
	}
	is.Equal(strings.Join(got, "\n"), strings.Join(want, "\n"))
}

// TestOutcomes guards against an unknown outcome name that is parsed as NotRun or Done.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	for _, o := range []Outcome{OutcomeUnknown, OutcomeNotRun, OutcomeDone} {
		is.Equal(ParseOutcome(o.String()), o)
	}
	for _, s := range []string{"", "done", "notrun", "NotRun "} {
		is.Equal(ParseOutcome(s), OutcomeUnknown)
	}
}
