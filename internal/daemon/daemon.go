// Package daemon contains the code shared by the main packages of the two daemons:
// command line, settings file, logging, signals and clients of the platform.
package daemon

import (
	"context"
	"flag"
	"os"
	"strconv"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/internal/lifecycle"
	"github.com/springweir/springweir/settings"
)

// Exit codes of a daemon.
const (
	exitFailed   = 1
	exitSettings = 2
)

// Spec describes a daemon.
type Spec struct {
	Name, Short string
	// Kind is the daemon's section of the settings file.
	Kind settings.Kind
	// Run serves until ctx ends. SIGTERM and SIGINT cancel ctx.
	Run func(ctx context.Context, p *settings.Process, file string) error
}

// Main runs the daemon and returns its exit code: 0 after a normal shutdown, 1
// after a failure, 2 for an invalid settings file.
func Main(s Spec) int {
	code := 0
	var file string
	cmd := &cobra.Command{
		Use:           s.Name + " --config FILE",
		Short:         s.Short,
		Example:       "  " + s.Name + " --config /etc/springweir/vm.ini",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := settings.LoadProcess(file, s.Kind)
			if err != nil {
				code = exitSettings
				return err
			}
			setLogLevel(p.LogLevel)
			return s.Run(cmd.Context(), p, file)
		},
	}
	cmd.Flags().StringVar(&file, "config", "/etc/springweir/vm.ini", "settings file of this VM")
	lifecycle.OnHangup(func() { klog.InfoS("daemon: hangup has no effect, changed settings need a restart") })
	if err := lifecycle.Run(cmd.ExecuteContext); err != nil {
		klog.Flush()
		_, _ = os.Stderr.WriteString(s.Name + ": " + err.Error() + "\n")
		return max(code, exitFailed)
	}
	klog.Flush()
	return 0
}

// setLogLevel sets klog's verbosity; logs go to standard error.
func setLogLevel(level int) {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	_ = set.Set("v", strconv.Itoa(level)) // can't fail for a number
	_ = set.Set("logtostderr", "true")
}
