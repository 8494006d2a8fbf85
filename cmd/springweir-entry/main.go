// Command springweir-entry is the data plane of an entry VM. It receives callers'
// requests and sends them to the endpoints of its availability zone.
package main

import (
	"context"
	"os"

	"github.com/springweir/springweir/entry"
	"github.com/springweir/springweir/internal/daemon"
	"github.com/springweir/springweir/settings"
)

func main() {
	os.Exit(daemon.Main(daemon.Spec{
		Name:  "springweir-entry",
		Short: "Take callers' requests and send them to this zone's endpoints",
		Kind:  settings.EntryKind,
		Run:   run,
	}))
}

func run(ctx context.Context, p *settings.Process, _ string) error {
	e, err := entry.New(p, platform(p))
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

func platform(p *settings.Process) entry.Platform {
	c := daemon.NewPlatform(p)
	return entry.Platform{Rows: c.Rows, Objects: c.Objects, Members: c.Members}
}
