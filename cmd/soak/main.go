package main

import (
	"os"

	"github.com/azuretrestle/azuretrestle/internal/soaker"
)

func main() { os.Exit(soaker.Main(os.Args[1:], os.Stdout, os.Stderr)) }
