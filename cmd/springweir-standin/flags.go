package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/standin"
)

const (
	defaultLinger = 4 * time.Second
	defaultGrace  = time.Minute
)

// stopFlags defines the flags that control how an endpoint shuts down.
func stopFlags(cmd *cobra.Command, s *standin.Server, e *standin.Endpoint) {
	f := cmd.Flags()
	f.DurationVar(&e.Linger, "linger", defaultLinger, "time to stay reachable after SIGTERM")
	f.DurationVar(&s.Grace, "grace", defaultGrace, "longest wait for open work after SIGTERM")
}

// flagError is an invalid value of a flag.
type flagError struct{ Flag, Value string }

func (e *flagError) Error() string { return fmt.Sprintf("--%s does not take %q", e.Flag, e.Value) }

// Reason implements failure.Coded.
func (e *flagError) Reason() failure.Reason { return failure.BadRequest }
