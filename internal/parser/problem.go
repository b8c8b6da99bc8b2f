package parser

import (
	"fmt"
	"strings"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// Problem is one error found in a file.
type Problem struct {
	File    string
	Section string
	Key     string
	Code    classifier.Code
	Text    string
}

// String returns the problem in one line: file, section, key, code and text.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File + ": ")
	if p.Section != "" {
		b.WriteString("[" + p.Section + "] ")
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	_, _ = fmt.Fprintf(&b, "%d %s: %s", p.Code, p.Code, p.Text)
	return b.String()
}

// Problems lists all errors found in a file; it is the error type of this package.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, q := range p {
		lines = append(lines, q.String())
	}
	return strings.Join(lines, "\n")
}

// err returns nil for an empty list, since an error interface that holds an empty list would not be nil.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
