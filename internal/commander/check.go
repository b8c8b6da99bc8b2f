package commander

import (
	"strings"

	"github.com/azuretrestle/azuretrestle/internal/parser"
	"github.com/azuretrestle/azuretrestle/pkg/classifier"
	"github.com/azuretrestle/azuretrestle/pkg/patcher"
	"github.com/azuretrestle/azuretrestle/platform"
)

func check(e *environment, args []string) int {
	f := e.flagSet("check", "[settings file ...]", "Reads settings files and a patch file and prints all problems. It contacts nobody.\nFiles that end with "+platformSuffix+" are settings of the platform.")
	patchFile := f.String("patch", "", "patch `file` to check; with Base 0 it is also tried on an empty configuration")
	if status, ok := e.parse(f, args, 0, -1); !ok {
		return status
	}
	if f.NArg() == 0 && *patchFile == "" {
		f.Usage()
		return ExitUsage
	}
	invalid := e.checkSettings(f.Args())
	if *patchFile != "" && !e.checkPatch(*patchFile) {
		invalid = true
	}
	if invalid {
		return ExitInvalidFile
	}
	e.printf("no problems found\n")
	return ExitOK
}

func (e *environment) checkSettings(files []string) (invalid bool) {
	for _, name := range files {
		if err := loadSettings(name); err != nil {
			e.printError(err)
			invalid = true
		}
	}
	return invalid
}

// platformSuffix marks the settings files of the platform.
const platformSuffix = ".toml"

func loadSettings(name string) error {
	if strings.HasSuffix(name, platformSuffix) {
		_, err := platform.LoadSettings(name)
		return err
	}
	_, err := parser.Load(name)
	return err
}

func (e *environment) checkPatch(name string) bool {
	p, err := parser.LoadPatch(name)
	if err != nil {
		e.printError(err)
		return false
	}
	if p.Base != 0 {
		return true
	}
	if _, err := new(patcher.Config).Apply(p); err != nil {
		e.printError(parser.Problem{File: name, Code: classifier.PatchInvalid, Text: err.Error()})
		return false
	}
	return true
}
