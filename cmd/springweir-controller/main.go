// Command springweir-controller is the control plane of an entry VM: leases,
// plans, orders, configurations and the operators' API.
package main

import (
	"context"
	"os"

	"github.com/springweir/springweir/controller"
	"github.com/springweir/springweir/internal/daemon"
	"github.com/springweir/springweir/settings"
)

func main() {
	os.Exit(daemon.Main(daemon.Spec{
		Name:  "springweir-controller",
		Short: "Keep this zone's roster, leases, plans and configurations, and answer operators",
		Kind:  settings.ControllerKind,
		Run:   run,
	}))
}

// run also reads the entry's section of the same file, for its peer address.
func run(ctx context.Context, p *settings.Process, file string) error {
	entry, err := settings.LoadProcess(file, settings.EntryKind)
	if err != nil {
		return err
	}
	c := daemon.NewPlatform(p)
	platform := controller.Platform{Rows: c.Rows, Objects: c.Objects, Members: c.Members, Weights: c.Weights}
	address := entry.Advertise
	if address == "" {
		address = entry.Peers
	}
	ctl, err := controller.New(p, address, platform)
	if err != nil {
		return err
	}
	return ctl.Run(ctx)
}
