// Command springweir-standin runs simulated versions of the systems that springweir
// depends on: the platform, engines and services. It is meant for trials and tests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	root := &cobra.Command{
		Use:           "springweir-standin",
		Short:         "Run a stand-in for the platform, an engine or a service",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newPlatformCommand(), newEngineCommand(), newServiceCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		klog.Errorf("standin: %v", err)
		klog.Flush()
		os.Exit(1)
	}
}
