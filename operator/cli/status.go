package cli

import (
	"cmp"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	pb "github.com/springweir/springweir/operator/operatorpb"
	"github.com/springweir/springweir/settings"
)

func (a *App) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show VMs, endpoints, leases and how far the configuration has come",
		Example: "  springweirctl status\n  springweirctl status -o json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			status, err := a.client().Status(cmd.Context())
			if err != nil {
				return err
			}
			return a.print(status, func(w io.Writer) { writeStatus(w, status) })
		},
	}
}

func writeStatus(w io.Writer, s *pb.FleetStatus) {
	fmt.Fprintf(w, "as seen by %s in zone %s\n", s.Vm, s.Zone)
	fmt.Fprintln(w, describeState(s.Config))
	for _, what := range s.Unavailable {
		fmt.Fprintf(w, "not known: %s\n", what)
	}
	fmt.Fprintln(w, "\nVM\tZONE\tCONFIG\tSTATE")
	for _, vm := range s.Vms {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", vm.Name, vm.Zone, versionOrDash(vm.Config), vmState(vm))
	}
	fmt.Fprintln(w, "\nENDPOINT\tZONE\tOF\tROLE\tINCARNATION\tSTREAMS\tSTATE\tAGE\tMODELS")
	for _, e := range s.Endpoints {
		age := time.Duration(e.AgeMs) * time.Millisecond
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", e.Name, e.Zone, cmp.Or(e.Pool, e.Service), orDash(e.Role), orDash(e.Incarnation), e.Streams, endpointState(e), age, orDash(strings.Join(e.Models, " ")))
	}
	fmt.Fprintln(w, "\nLEASE\tZONE\tHOLDER\tFENCE")
	for _, l := range s.Leases {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", l.Pool, l.Zone, orDash(l.Holder), l.Fence)
	}
}

func vmState(vm *pb.VM) string {
	switch {
	case vm.Leaving:
		return "leaving"
	case vm.Serving:
		return "serving"
	}
	return "not serving: " + orDash(vm.Reason)
}

func endpointState(e *pb.Endpoint) string {
	var words []string
	for _, s := range []struct {
		set  bool
		word string
	}{{e.Leaving, "leaving"}, {e.Withheld, "withheld"}, {e.Ejected, "ejected"}, {!e.Reachable, "unreachable"}} {
		if s.set {
			words = append(words, s.word)
		}
	}
	return cmp.Or(strings.Join(words, ","), "ok")
}

func versionOrDash(n uint64) string {
	if n == 0 {
		return "-"
	}
	return strconv.FormatUint(n, 10)
}

func orDash(text string) string { return cmp.Or(text, "-") }

func (a *App) referenceCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "reference",
		Short:   "Print the reference page of all settings, in Markdown",
		Example: "  springweirctl reference > docs/operators/settings.md",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			page := settings.Reference()
			return a.printRaw(page, page)
		},
	}
}
