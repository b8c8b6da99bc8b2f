package commander

import (
	"github.com/azuretrestle/azuretrestle/internal/parser"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

func check(e *environment, args []string) int {
	f := e.flagSet("check", "[settings file ...]", "Reads settings files and a patch file and prints all problems. It contacts nobody.")
	patchFile := f.String("patch", "", "patch `file` to check; with Base 0 it is also tried on an empty configuration")
	if status, ok := e.parse(f, args, 0, -1); !ok {
		return status
	}
	if f.NArg() == 0 && *patchFile == "" {
		f.Usage()
		return ExitUsage
	}
	faulty := e.checkSettings(f.Args())
	if *patchFile != "" && !e.checkPatch(*patchFile) {
		faulty = true
	}
	if faulty {
		return ExitFaulty
	}
	e.printf("no problems found\n")
	return ExitOK
}

func (e *environment) checkSettings(files []string) (faulty bool) {
	for _, name := range files {
		if _, err := parser.Load(name); err != nil {
			e.complain(err)
			faulty = true
		}
	}
	return faulty
}

func (e *environment) checkPatch(name string) bool {
	p, err := parser.LoadPatch(name)
	if err != nil {
		e.complain(err)
		return false
	}
	if p.Base != 0 {
		return true
	}
	if _, err := new(patcher.Config).Apply(p); err != nil {
		e.complain(parser.Problem{File: name, Code: classifier.PatchInvalid, Text: err.Error()})
		return false
	}
	return true
}
