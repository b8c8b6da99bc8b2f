package main

import (
	"os"

	"github.com/azuretrestle/azuretrestle/internal/commander"
)

func main() { os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr)) }
