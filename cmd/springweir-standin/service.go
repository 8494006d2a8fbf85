package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/springweir/springweir/standin"
	"github.com/springweir/springweir/standin/service"
)

func newServiceCommand() *cobra.Command {
	server := standin.Server{Name: "service"}
	var endpoint standin.Endpoint
	var mode string
	var delay time.Duration
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Run a plain service that counts how often each call ran",
		Example: "  springweir-standin service --listen 127.0.0.1:7200 --mode late-answer --delay 3s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			m := service.Mode(mode)
			if !m.Valid() {
				return &flagError{Flag: "mode", Value: mode}
			}
			s := service.New(m, delay)
			endpoint.Leave, endpoint.Open = s.Leave, s.Open
			server.Handler, server.Endpoint = s, &endpoint
			return server.Serve(cmd.Context())
		},
	}
	f := cmd.Flags()
	f.StringVar(&server.Listen, "listen", "127.0.0.1:0", "address to listen on (host:port)")
	f.StringVar(&mode, "mode", string(service.Normal), "normal, slow, crash-after-run, late-answer, refuse or crossed")
	f.DurationVar(&delay, "delay", 2*time.Second, "wait of the modes slow and late-answer")
	stopFlags(cmd, &server, &endpoint)
	return cmd
}
