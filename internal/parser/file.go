package parser

import (
	"bytes"
	"fmt"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
)

// maxFile bounds a settings or patch file in bytes.
const maxFile = 4 << 20

// file is an INI file whose problems are being gathered.
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

func (f *file) add(section, key string, code classifier.Code, format string, args ...any) {
	f.problems = append(f.problems, Problem{
		File: f.name, Section: section, Key: key, Code: code, Text: fmt.Sprintf(format, args...),
	})
}

// read loads the sections; keys and sections that are given twice are
// reported, since the library would let the last one win in silence.
func read(name string, data []byte) *file {
	f := &file{name: name}
	if len(data) > maxFile {
		f.add("", "", classifier.UnreadableFile, "larger than %d bytes", maxFile)
		return f
	}
	if !utf8.Valid(data) || bytes.IndexByte(data, 0) >= 0 {
		f.add("", "", classifier.UnreadableFile, "not a text in UTF-8")
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
		f.add("", "", classifier.UnreadableFile, "%s", err)
		return f
	}
	f.load(raw)
	return f
}

func (f *file) load(raw *ini.File) {
	seen := make(map[string]bool)
	for _, s := range raw.Sections() {
		name := s.Name()
		if name == ini.DefaultSection {
			f.strayKeys(s)
			continue
		}
		if seen[name] {
			f.add(name, "", classifier.Contradiction, "the section is given twice")
			continue
		}
		seen[name] = true
		f.sections = append(f.sections, f.section(s))
	}
}

func (f *file) strayKeys(s *ini.Section) {
	for _, k := range s.KeyStrings() {
		f.add("", k, classifier.UnknownKey, "the key stands before any section")
	}
}

func (f *file) section(raw *ini.Section) section {
	s := section{name: raw.Name(), values: make(map[string]string)}
	for _, k := range raw.Keys() {
		values := k.ValueWithShadows()
		if len(values) > 1 {
			f.add(s.name, k.Name(), classifier.Contradiction, "the key is given %d times", len(values))
		}
		s.keys = append(s.keys, k.Name())
		s.values[k.Name()] = k.Value()
	}
	return s
}

// find returns the section with the given name, an empty one if there is none.
func (f *file) find(name string) section {
	for _, s := range f.sections {
		if s.name == name {
			return s
		}
	}
	return section{name: name}
}
