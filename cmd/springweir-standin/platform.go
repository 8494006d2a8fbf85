package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/springweir/springweir/standin"
	"github.com/springweir/springweir/standin/platform"
)

// platformGrace bounds the wait for in-flight requests after SIGTERM.
const platformGrace = 5 * time.Second

func newPlatformCommand() *cobra.Command {
	var listen string
	var lag time.Duration
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Run the table service, object store, membership list and weight store",
		Example: "  springweir-standin platform --listen 127.0.0.1:7000 --lag 2s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := platform.New()
			p.List.SetLag(lag)
			s := standin.Server{Name: "platform", Listen: listen, Handler: p.Handler(), Grace: platformGrace}
			return s.Serve(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on (host:port)")
	cmd.Flags().DurationVar(&lag, "lag", platform.DefaultLag, "how late changes show on the membership list")
	return cmd
}
