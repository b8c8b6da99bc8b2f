package parser

import (
	"bytes"
	"fmt"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// maxFileBytes bounds the size of a settings or patch file.
const maxFileBytes = 4 << 20

// file is a parsed INI file with the problems found so far.
type file struct {
	name     string
	sections []section
	problems Problems
}

// section holds the keys of one section in the order of the file.
type section struct {
	name   string
	keys   []string
	values map[string]string
}

func (f *file) addProblem(section, key string, code classifier.Code, format string, args ...any) {
	f.problems = append(f.problems, Problem{
		File: f.name, Section: section, Key: key, Code: code, Text: fmt.Sprintf(format, args...),
	})
}

// parseFile parses the sections of a file. It reports duplicate keys and sections, since
// the INI library would silently use the last one.
func parseFile(name string, data []byte) *file {
	f := &file{name: name}
	if len(data) > maxFileBytes {
		f.addProblem("", "", classifier.UnreadableFile, "larger than %d bytes", maxFileBytes)
		return f
	}
	if !utf8.Valid(data) || bytes.IndexByte(data, 0) >= 0 {
		f.addProblem("", "", classifier.UnreadableFile, "not UTF-8 text, or contains a NUL byte")
		return f
	}
	raw, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:         true,
		IgnoreInlineComment:        true,
		KeyValueDelimiters:         "=",
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
	}, data)
	if err != nil {
		f.addProblem("", "", classifier.UnreadableFile, "%s", err)
		return f
	}
	f.loadSections(raw)
	return f
}

func (f *file) loadSections(raw *ini.File) {
	seen := make(map[string]bool)
	for _, s := range raw.Sections() {
		name := s.Name()
		if name == ini.DefaultSection {
			f.reportStrayKeys(s)
			continue
		}
		if seen[name] {
			f.addProblem(name, "", classifier.Contradiction, "the section occurs more than once")
			continue
		}
		seen[name] = true
		f.sections = append(f.sections, f.parseSection(s))
	}
}

func (f *file) reportStrayKeys(s *ini.Section) {
	for _, k := range s.KeyStrings() {
		f.addProblem("", k, classifier.UnknownKey, "the key is outside any section")
	}
}

func (f *file) parseSection(raw *ini.Section) section {
	s := section{name: raw.Name(), values: make(map[string]string)}
	for _, k := range raw.Keys() {
		values := k.ValueWithShadows()
		if len(values) > 1 {
			f.addProblem(s.name, k.Name(), classifier.Contradiction, "the key occurs %d times", len(values))
		}
		s.keys = append(s.keys, k.Name())
		s.values[k.Name()] = k.Value()
	}
	return s
}

// findSection returns the section with the given name, or an empty one if there is none.
func (f *file) findSection(name string) section {
	for _, s := range f.sections {
		if s.name == name {
			return s
		}
	}
	return section{name: name}
}
