package parser

import (
	"os"
	"strings"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// operations gathers the parts of a patch, in the order in which they apply.
type operations struct {
	removals  []patcher.Operation
	services  []patcher.Operation
	ranks     []patcher.Operation
	upstreams []patcher.Operation
}

func (o operations) list() []patcher.Operation {
	var all []patcher.Operation
	all = append(all, o.removals...)
	all = append(all, o.services...)
	all = append(all, o.ranks...)
	return append(all, o.upstreams...)
}

// LoadPatch reads a patch from a file; its error is Problems.
func LoadPatch(path string) (patcher.Patch, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return patcher.Patch{}, Problems{{File: path, Code: classifier.UnreadableFile, Text: err.Error()}}
	}
	return ParsePatch(path, data)
}

// ParsePatch reads a patch from data and names the file in problems; its error
// is Problems. Removals apply first, then services, ranks and upstreams.
func ParsePatch(name string, data []byte) (patcher.Patch, error) {
	f := read(name, data)
	var p patcher.Patch
	if len(f.problems) > 0 && len(f.sections) == 0 {
		return p, f.problems
	}
	var o operations
	f.head(&p)
	for _, s := range f.sections {
		f.operation(&o, s)
	}
	f.removedAndPut()
	p.Operations = o.list()
	if len(p.Operations) == 0 && len(f.problems) == 0 {
		f.add("", "", classifier.MissingKey, "the patch changes nothing")
	}
	if err := f.problems.err(); err != nil {
		return patcher.Patch{}, err
	}
	return p, nil
}

func (f *file) head(p *patcher.Patch) {
	r := f.row(f.find("Patch"))
	p.Base = uint64(r.count("Base"))
	p.ID = r.name("ID")
	r.finish()
}

func (f *file) operation(o *operations, s section) {
	word, target, _ := strings.Cut(s.name, " ")
	service, part, nested := strings.Cut(target, "/")
	if word == "Patch" && target == "" {
		return
	}
	if word == "Remove" {
		f.removal(o, s, target)
		return
	}
	if !f.validTarget(s, word, service, part, nested) {
		return
	}
	switch word {
	case "Service":
		o.services = append(o.services, f.service(s, service))
	case "Rank":
		o.ranks = append(o.ranks, f.rank(s, service, part))
	case "Upstream":
		o.upstreams = append(o.upstreams, f.upstream(s, service, part))
	}
}

// validTarget checks the name in a section's head; only ranks and upstreams have two parts.

func (f *file) validTarget(s section, word, service, part string, nested bool) bool {
	if word != "Service" && word != "Rank" && word != "Upstream" {
		f.add(s.name, "", classifier.UnknownKey, "the section is not known")
		return false
	}
	if nested != (word != "Service") {
		f.add(s.name, "", classifier.BadValue, "want [Service S], [Rank S/R] or [Upstream S/U]")
		return false
	}
	if !patcher.ValidName(service) || nested && !patcher.ValidName(part) {
		f.add(s.name, "", classifier.BadValue, "a name in the section is not valid")
		return false
	}
	return true
}

func (f *file) removal(o *operations, s section, rest string) {
	word, target, _ := strings.Cut(rest, " ")
	service, part, nested := strings.Cut(target, "/")
	if !f.validTarget(s, word, service, part, nested) {
		return
	}
	f.row(s).finish()
	switch word {
	case "Service":
		o.removals = append(o.removals, patcher.RemoveService{Name: service})
	case "Rank":
		o.removals = append(o.removals, patcher.RemoveRank{InService: service, Name: part})
	case "Upstream":
		o.removals = append(o.removals, patcher.RemoveUpstream{InService: service, Name: part})
	}
}

// removedAndPut refuses a patch that removes and sets the same thing, or sets parts of a removed service.
func (f *file) removedAndPut() {
	for _, s := range f.sections {
		gone, ok := strings.CutPrefix(s.name, "Remove ")
		if !ok {
			continue
		}
		for _, t := range f.sections {
			if t.name == gone || partOf(t.name, gone) {
				f.add(s.name, "", classifier.Contradiction, "[%s] is in the same patch", t.name)
			}
		}
	}
}

func partOf(name, gone string) bool {
	service, ok := strings.CutPrefix(gone, "Service ")
	if !ok {
		return false
	}
	name = strings.TrimPrefix(name, "Remove ")
	return strings.HasPrefix(name, "Rank "+service+"/") || strings.HasPrefix(name, "Upstream "+service+"/")
}
