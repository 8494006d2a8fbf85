// Command springweir-policy simulates the scheduling policies in virtual time and
// prints one line for each trace, policy and seed.
package main

import (
	"os"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/simulate"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		klog.Errorf("policy: %v", err)
		os.Exit(1)
	}
}

// newCommand returns the root command.
func newCommand() *cobra.Command {
	suite := simulate.DefaultSuite()
	var experiment, plots string
	var seeds []int
	cmd := &cobra.Command{
		Use:          "springweir-policy",
		Short:        "Measure the decisions in virtual time",
		Example:      "  springweir-policy --trace swing --seed 1\n  springweir-policy --experiment reservations",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			suite.Seeds = suite.Seeds[:0]
			for _, s := range seeds {
				suite.Seeds = append(suite.Seeds, uint64(s))
			}
			return simulate.Main(cmd.Context(), cmd.OutOrStdout(), suite, experiment, plots)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&suite.Traces, "trace", nil, "traces to run (default all)")
	flags.IntSliceVar(&seeds, "seed", []int{1}, "seeds of the traces")
	flags.IntVar(&suite.Workers, "workers", suite.Workers, "runs at once")
	flags.DurationVar(&suite.Lag, "lag", suite.Lag, "age of a load report when it arrives")
	flags.IntVar(&suite.Entries, "entries", suite.Entries, "entry VMs in each zone")
	flags.StringVar(&experiment, "experiment", simulate.Policies, "policies or reservations")
	flags.StringVar(&plots, "plots", "", "directory to write plots to (default none)")
	return cmd
}
