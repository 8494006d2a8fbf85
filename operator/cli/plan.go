package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	pb "github.com/springweir/springweir/operator/operatorpb"
)

// verb is a command that plans a change of one endpoint.
type verb struct {
	kind    pb.PlanKind
	use     string
	short   string
	long    string
	example string
	args    int
}

var verbs = []verb{
	{
		pb.PlanKind_PLAN_KIND_DRAIN, "drain ENDPOINT", "Give an endpoint no new work and let running work finish",
		"Give an endpoint no new work and let running work finish. No stream is cut.",
		"  springweirctl drain engine-4\n  springweirctl drain --preview engine-4", 1,
	},
	{
		pb.PlanKind_PLAN_KIND_UNDRAIN, "undrain ENDPOINT", "Take back a drain or a replacement",
		"Take back a drain or a replacement. A withdrawal is taken back by editing the tree.",
		"  springweirctl undrain engine-4", 1,
	},
	{
		pb.PlanKind_PLAN_KIND_REPLACE, "replace ENDPOINT BY", "Let one endpoint take another's place",
		"Let one endpoint take another's place. Both must be in the tree, in one pool or service and zone.",
		"  springweirctl replace engine-4 engine-13", 2,
	},
	{
		pb.PlanKind_PLAN_KIND_WITHDRAW, "withdraw ENDPOINT", "Let an endpoint leave for good",
		"Let an endpoint leave for good: it drains, and once it has no work it can be removed from the tree.",
		"  springweirctl withdraw engine-4", 1,
	},
}

func (a *App) verbCommand(v verb) *cobra.Command {
	var preview, force bool
	c := &cobra.Command{
		Use: v.use, Short: v.short, Long: v.long, Example: v.example,
		Args: cobra.ExactArgs(v.args),
		RunE: func(cmd *cobra.Command, args []string) error {
			req := &pb.PlanRequest{Kind: v.kind, Endpoint: args[0], Author: a.author, WriteId: a.NewID(), Preview: preview, Force: force}
			if v.args > 1 {
				req.Replacement = args[1]
			}
			return a.runPlan(cmd, req)
		},
	}
	c.Flags().BoolVar(&preview, "preview", false, "show what would follow and change nothing")
	c.Flags().BoolVar(&force, "force", false, "go below the floor of the pool")
	a.changeFlags(c)
	return c
}

func (a *App) runPlan(cmd *cobra.Command, req *pb.PlanRequest) error {
	client := a.client()
	resp, err := client.Plan(cmd.Context(), req)
	if err != nil {
		return err
	}
	var waitErr error
	if resp.State != nil {
		resp.State, waitErr = a.waitAccepted(cmd.Context(), client, resp.State)
	}
	if err := a.print(resp, func(w io.Writer) { writePlan(w, resp) }); err != nil {
		return err
	}
	return waitErr
}

func writePlan(w io.Writer, resp *pb.PlanResponse) {
	if len(resp.Changes) == 0 {
		fmt.Fprintln(w, "the tree says so already")
	}
	for _, line := range resp.Changes {
		fmt.Fprintln(w, line)
	}
	for _, e := range resp.Effects {
		kind := "note"
		if e.Blocking {
			kind = "stop"
		}
		fmt.Fprintf(w, "%s: %s: %s\n", kind, e.Reason, e.Text)
	}
	if resp.State == nil {
		fmt.Fprintln(w, "preview: nothing was changed")
		return
	}
	if resp.State.Accepted {
		fmt.Fprintln(w, describeState(resp.State))
	}
}

func (a *App) planCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "plan",
		Short: "Show what is planned: endpoints that leave, open orders, and the planners' decisions",
		Long: `Show what is planned: endpoints that leave or wait for an order, what each waits
for, and the last decisions of the planners that the asked controller runs, with
the reason of each. --preview of drain, replace and withdraw shows a plan ahead.`,
		Example: "  springweirctl plan\n  springweirctl drain --preview engine-4",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			status, err := a.client().Status(cmd.Context())
			if err != nil {
				return err
			}
			report := &pb.FleetStatus{Vm: status.Vm, Zone: status.Zone, Config: status.Config, Unavailable: status.Unavailable, Endpoints: plannedEndpoints(status.Endpoints), Decisions: status.Decisions}
			return a.print(report, func(w io.Writer) { writePlannedEndpoints(w, report) })
		},
	}
}

// plannedEndpoints returns the endpoints with a planned or pending change.
func plannedEndpoints(all []*pb.Endpoint) []*pb.Endpoint {
	var out []*pb.Endpoint
	for _, e := range all {
		if e.Leaving || e.Withheld || e.Order != "" || len(e.WaitingFor) > 0 {
			out = append(out, e)
		}
	}
	return out
}

func writePlannedEndpoints(w io.Writer, report *pb.FleetStatus) {
	fmt.Fprintln(w, "ENDPOINT\tZONE\tSTATE\tSTREAMS\tORDER\tWAITING FOR")
	for _, e := range report.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", e.Name, e.Zone, endpointState(e), e.Streams, orDash(e.Order), orDash(strings.Join(e.WaitingFor, "; ")))
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "POOL\tZONE\tENDPOINT\tDECISION\tTAKEN\tREASON\tWHY")
	for _, d := range report.Decisions {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%s\t%s\n", d.Pool, d.Zone, orDash(d.Endpoint), d.Action, d.Taken, d.Reason, d.Text)
	}
}
