// Command springweirctl is the command-line tool for operators. It is implemented in
// package operator/cli.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/springweir/springweir/operator/cli"
)

//go:generate sh -c "go run . reference > ../../docs/operators/settings.md"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	context.AfterFunc(ctx, stop) // a second interrupt ends the process at once
	os.Exit(cli.New().Run(ctx, os.Args[1:]))
}
