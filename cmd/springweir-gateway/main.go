// Command springweir-gateway is the proxy between callers and endpoints. It is the only
// springweir process of an entry VM on the users' platform.
package main

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/gateway"
	"github.com/springweir/springweir/internal/lifecycle"
	"github.com/springweir/springweir/internal/logs"
	"github.com/springweir/springweir/memory"
	"github.com/springweir/springweir/platform"
	"github.com/springweir/springweir/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// options holds the flags.
type options struct {
	// platform is the path of the platform's settings file, gateway that of the gateway's.
	platform, gateway string
}

func main() {
	code := exitFailed
	var o options
	cmd := &cobra.Command{
		Use:           "springweir-gateway",
		Short:         "Stand between callers and endpoints on one VM of the platform",
		Example:       "  springweir-gateway --platform /etc/springweir/settings.toml --config gateway.ini",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			gatewaySettings, loaded, err := o.load()
			if err != nil {
				code = exitSettings
				return err
			}
			stop := logs.Start(os.Stdout, logs.Options{PerSecond: int(gatewaySettings.LogRate), Level: slog.Level(-gatewaySettings.LogLevel)})
			defer stop()
			memory.LimitHeap(loaded.Memory)
			g := platform.New(loaded)
			lifecycle.OnHangup(func() { o.reload(g) })
			return g.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&o.platform, "platform", os.Getenv(platform.SettingsVariable), "the platform's settings file of this VM")
	cmd.Flags().StringVar(&o.gateway, "config", "", "the gateway file; without one every key has its default")
	if err := lifecycle.Run(cmd.ExecuteContext); err != nil {
		_, _ = os.Stderr.WriteString("springweir-gateway: " + err.Error() + "\n")
		os.Exit(code)
	}
}

// load reads both settings files.
func (o *options) load() (*settings.Gateway, gateway.Settings, error) {
	gatewaySettings, err := o.gatewaySettings()
	if err != nil {
		return nil, gateway.Settings{}, err
	}
	loaded, err := platform.Load(o.platform, gatewaySettings)
	return gatewaySettings, loaded, err
}

func (o *options) gatewaySettings() (*settings.Gateway, error) {
	if o.gateway == "" {
		return settings.DefaultGateway(), nil
	}
	return settings.LoadGateway(o.gateway)
}

// reload reads both settings files again. Invalid files leave the settings unchanged.
func (o *options) reload(g *gateway.Gateway) {
	_, loaded, err := o.load()
	if err != nil {
		klog.ErrorS(err, "gateway: settings not reloaded, the present ones stay")
		return
	}
	g.Reload(loaded)
}
