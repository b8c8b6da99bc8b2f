package parser

import (
	"os"
	"strings"

	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

// operations collects the operations of a patch, in the order in which they apply.
type operations struct {
	removals  []patcher.Operation
	services  []patcher.Operation
	ranks     []patcher.Operation
	upstreams []patcher.Operation
}

func (o operations) ordered() []patcher.Operation {
	var all []patcher.Operation
	all = append(all, o.removals...)
	all = append(all, o.services...)
	all = append(all, o.ranks...)
	return append(all, o.upstreams...)
}

// LoadPatch reads a patch from a file; its error is of type Problems.
func LoadPatch(path string) (patcher.Patch, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return patcher.Patch{}, Problems{{File: path, Code: classifier.UnreadableFile, Text: err.Error()}}
	}
	return ParsePatch(path, data)
}

// ParsePatch parses a patch from data; problems refer to the file by name. Its
// error is of type Problems. Removals apply first, then services, ranks and upstreams.
func ParsePatch(name string, data []byte) (patcher.Patch, error) {
	f := parseFile(name, data)
	var p patcher.Patch
	if len(f.problems) > 0 && len(f.sections) == 0 {
		return p, f.problems
	}
	var o operations
	f.readPatchSection(&p)
	for _, s := range f.sections {
		f.addOperation(&o, s)
	}
	f.checkRemovals()
	p.Operations = o.ordered()
	if len(p.Operations) == 0 && len(f.problems) == 0 {
		f.addProblem("", "", classifier.MissingKey, "the patch changes nothing")
	}
	if err := f.problems.err(); err != nil {
		return patcher.Patch{}, err
	}
	return p, nil
}

func (f *file) readPatchSection(p *patcher.Patch) {
	r := f.reader(f.findSection("Patch"))
	p.Base = uint64(r.count("Base"))
	p.ID = r.name("ID")
	r.reportUnused()
}

func (f *file) addOperation(o *operations, s section) {
	sectionType, target, _ := strings.Cut(s.name, " ")
	service, part, nested := strings.Cut(target, "/")
	if sectionType == "Patch" && target == "" {
		return
	}
	if sectionType == "Remove" {
		f.addRemoval(o, s, target)
		return
	}
	if !f.validTarget(s, sectionType, service, part, nested) {
		return
	}
	switch sectionType {
	case "Service":
		o.services = append(o.services, f.serviceOperation(s, service))
	case "Rank":
		o.ranks = append(o.ranks, f.rankOperation(s, service, part))
	case "Upstream":
		o.upstreams = append(o.upstreams, f.upstreamOperation(s, service, part))
	}
}

// validTarget checks the type and target in a section's name; only targets of ranks and upstreams
// have the form service/name.
func (f *file) validTarget(s section, sectionType, service, part string, nested bool) bool {
	if sectionType != "Service" && sectionType != "Rank" && sectionType != "Upstream" {
		f.addProblem(s.name, "", classifier.UnknownKey, "unknown section")
		return false
	}
	if nested != (sectionType != "Service") {
		f.addProblem(s.name, "", classifier.BadValue, "want [Service S], [Rank S/R] or [Upstream S/U]")
		return false
	}
	if !patcher.ValidName(service) || nested && !patcher.ValidName(part) {
		f.addProblem(s.name, "", classifier.BadValue, "a name in the section is not valid")
		return false
	}
	return true
}

func (f *file) addRemoval(o *operations, s section, rest string) {
	sectionType, target, _ := strings.Cut(rest, " ")
	service, part, nested := strings.Cut(target, "/")
	if !f.validTarget(s, sectionType, service, part, nested) {
		return
	}
	f.reader(s).reportUnused()
	switch sectionType {
	case "Service":
		o.removals = append(o.removals, patcher.RemoveService{Name: service})
	case "Rank":
		o.removals = append(o.removals, patcher.RemoveRank{InService: service, Name: part})
	case "Upstream":
		o.removals = append(o.removals, patcher.RemoveUpstream{InService: service, Name: part})
	}
}

// checkRemovals refuses a patch that removes and sets the same object, or
// changes parts of a removed service.
func (f *file) checkRemovals() {
	for _, s := range f.sections {
		removed, ok := strings.CutPrefix(s.name, "Remove ")
		if !ok {
			continue
		}
		for _, t := range f.sections {
			if t.name == removed || isPartOf(t.name, removed) {
				f.addProblem(s.name, "", classifier.Contradiction, "[%s] is in the same patch", t.name)
			}
		}
	}
}

func isPartOf(name, removed string) bool {
	service, ok := strings.CutPrefix(removed, "Service ")
	if !ok {
		return false
	}
	name = strings.TrimPrefix(name, "Remove ")
	return strings.HasPrefix(name, "Rank "+service+"/") || strings.HasPrefix(name, "Upstream "+service+"/")
}
