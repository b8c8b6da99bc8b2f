// Package commander implements the subcommands of azuretrestle.
package commander
