package administrator

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestAdminPage guards against a table in docs/ADMIN.md that differs from the calls of the
// interface or their codes.
func TestAdminPage(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../docs/ADMIN.md")
	is.NoErr(err)
	var got []string
	for line := range strings.SplitSeq(string(raw), "\n") {
		if strings.HasPrefix(line, "| GET ") || strings.HasPrefix(line, "| POST ") {
			got = append(got, line)
		}
	}
	var want []string
	for _, c := range Calls() {
		var codes []string
		for _, code := range c.Codes {
			codes = append(codes, fmt.Sprintf("%d %s", code, code))
		}
		token := "yes"
		if c.Open {
			token = "no"
		}
		want = append(want, fmt.Sprintf("| %s | %s | %s | %s | %s | %s |",
			c.Method, c.Path, c.Query, token, c.Text, strings.Join(codes, ", ")))
	}
	is.Equal(strings.Join(got, "\n"), strings.Join(want, "\n"))
}
