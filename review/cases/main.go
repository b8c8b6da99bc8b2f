package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxLength bounds the time that a case may take.
const maxLength = 100 * time.Second

// caseFunc plays a case and returns what broke the rule, one line for each violation.
// trouble is false if the case is to be played without its disruption.
type caseFunc func(ctx context.Context, b *bed, trouble bool) ([]string, error)

var cases = map[string]caseFunc{
	"forged": playForged,
	"limits": playLimits,
	"prefix": playPrefix,
	"route":  playRoute,
	"stop":   playStop,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME PROGRAM RECORD")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	b, err := newBed(ctx, args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	trouble := os.Getenv("TROUBLE") != "0"
	b.note("case %s, disruption: %t", args[0], trouble)
	broken, err := cases[args[0]](ctx, b, trouble)
	if err != nil {
		b.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, line := range broken {
		b.note("broken: %s", line)
		fmt.Println(line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	b.note("the rule held")
	return exitHeld
}
