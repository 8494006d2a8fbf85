// Command rig2 plays the cases of the second review that cannot be put as a day of the bench: it starts gateways with the
// command of the deploy file, with stand-ins for the platform, endpoints and clients on loopback addresses.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// outcome is what a case has found.
type outcome int

const (
	held   outcome = 0
	broken outcome = 1
	notRun outcome = 2
)

// play runs a case. The disruption is left out if trouble is false.
type play func(r *record, trouble bool) (outcome, error)

var plays = map[string]play{
	"revoked-key":    playRevokedKey,
	"config-history": playConfigHistory,
}

// longest bounds a case.
const longest = 116 * time.Second

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(int(notRun))
	}
	r := newRecord()
	finish := func(o outcome, err error) {
		if err != nil {
			r.add("the case could not run: %v", err)
			o = notRun
		}
		r.add("outcome: %d", o)
		if err := r.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
			fmt.Fprintln(os.Stderr, err)
			o = notRun
		}
		os.Exit(int(o))
	}
	done := make(chan func(), 1)
	go func() {
		o, err := plays[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
		done <- func() { finish(o, err) }
	}()
	select {
	case f := <-done:
		f()
	case <-time.After(longest):
		finish(notRun, fmt.Errorf("not over after %v", longest))
	}
}
