package commander

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	logField   = regexp.MustCompile(`zap\.[A-Z][A-Za-z0-9]*\("([^"]*)"`)
	logMessage = regexp.MustCompile(`(?i)\blogger\.(?:Debug|Info|Warn|Error)\("([^"]*)"`)
	pascalCase = regexp.MustCompile(`^[A-Z][A-Za-z0-9]*$`)
	lowerStart = regexp.MustCompile(`^[a-z]`)
)

// TestLogNames guards against log fields whose names are not in Pascal case, such as
// that of zap.Error, and against messages that do not begin in lower case.
func TestLogNames(t *testing.T) {
	is := is.New(t)
	fields, messages := 0, 0
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		is.NoErr(err)
		if strings.Contains(string(text), "zap.Error(") {
			t.Errorf("%s uses zap.Error, whose field is not in Pascal case", path)
		}
		for _, m := range logField.FindAllStringSubmatch(string(text), -1) {
			fields++
			if !pascalCase.MatchString(m[1]) {
				t.Errorf("%s: log field %q is not in Pascal case", path, m[1])
			}
		}
		for _, m := range logMessage.FindAllStringSubmatch(string(text), -1) {
			messages++
			if !lowerStart.MatchString(m[1]) {
				t.Errorf("%s: log message %q does not begin in lower case", path, m[1])
			}
		}
		return nil
	})
	is.NoErr(err)
	is.True(fields > 0)
	is.True(messages > 0)
}
