package parser

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// tableRows returns the rows of the table below a heading, without the table's header.
func tableRows(t *testing.T, path, heading string) []string {
	t.Helper()
	raw, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	_, rest, ok := strings.Cut(string(raw), heading+"\n")
	is.New(t).True(ok)
	if i := strings.Index(rest, "\n## "); i >= 0 {
		rest = rest[:i]
	}
	var rows []string
	for line := range strings.SplitSeq(rest, "\n") {
		if strings.HasPrefix(line, "|") {
			rows = append(rows, line)
		}
	}
	return rows[min(2, len(rows)):]
}

func defaultColumn(value string, required bool) string {
	if required {
		return "required"
	}
	return value
}

// TestSettingsPage guards against documentation that omits a setting or states a
// default or bound that differs from the code.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	var want []string
	for _, s := range AllSettings() {
		want = append(want, fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s |",
			s.Section, s.Key, s.Type, s.Unit, defaultColumn(s.Default, s.Required), s.Bounds, s.Text))
	}
	is.Equal(strings.Join(tableRows(t, "../../docs/SETTINGS.md", "## Settings file"), "\n"), strings.Join(want, "\n"))

	want = nil
	for _, k := range PatchKeys() {
		want = append(want, fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s |",
			k.Section, k.Key, k.Type, k.Unit, defaultColumn(k.Default, k.Required), k.Bounds(), k.Text))
	}
	is.Equal(strings.Join(tableRows(t, "../../docs/SETTINGS.md", "## Patch file"), "\n"), strings.Join(want, "\n"))
}
