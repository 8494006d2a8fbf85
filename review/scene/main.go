package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	notPlay = 2
)

// play is one case. It returns broken or held; an error means that the case couldn't run.
type play func(s *site, trouble string) (int, error)

var plays = map[string]play{
	"hangup-while-stopping": hangupWhileStopping,
	"failure-after-run":     failureAfterRun,
	"bodies-at-once":        bodiesAtOnce,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene CASE RECORD")
		os.Exit(notPlay)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(p play, record string) int {
	s, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "scene:", err)
		return notPlay
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE")
	s.note("TROUBLE=%q", trouble)
	code, err := p(s, trouble)
	if err != nil {
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "scene:", err)
		return notPlay
	}
	s.note("exit %d", code)
	return code
}
