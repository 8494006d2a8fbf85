package main

import (
	"crypto/rand"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/standin"
	standinengine "github.com/springweir/springweir/standin/engine"
	"github.com/springweir/springweir/standin/enginemodel"
	"github.com/springweir/springweir/weightstore"
)

// crashExit is the exit code of a crash requested by a flag.
const crashExit = 3

// engineFlags holds the flags that require validation.
type engineFlags struct {
	role, fencing, crash string
	load                 []string
}

func newEngineCommand() *cobra.Command {
	server := standin.Server{Name: "engine"}
	var endpoint standin.Endpoint
	o := standinengine.Options{Params: enginemodel.DefaultParams()}
	var flags engineFlags
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine with realistic timing and deterministic answers",
		Example: "  springweir-standin engine --listen 127.0.0.1:7101 --role prefill --load chat@1 --load chat/permits@1\n" +
			"  springweir-standin engine --listen 127.0.0.1:7102 --fencing checked --crash-in-order midway",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := flags.apply(&o); err != nil {
				return err
			}
			if o.Address == "" {
				o.Address = server.Listen
			}
			o.Incarnation = rand.Text()
			o.Crash = crash
			s := standinengine.New(o)
			endpoint.Leave, endpoint.Open, endpoint.Run = s.Leave, s.Streams, s.Run
			server.Handler, server.Endpoint = s, &endpoint
			return server.Serve(cmd.Context())
		},
	}
	f := cmd.Flags()
	f.StringVar(&server.Listen, "listen", "127.0.0.1:0", "address to listen on (host:port)")
	f.StringVar(&o.Address, "advertise", "", "address that other engines fetch caches from (default: --listen)")
	flags.define(cmd)
	faultFlags(cmd, &o)
	modelFlags(cmd, &o.Params)
	stopFlags(cmd, &server, &endpoint)
	return cmd
}

// define defines the flags that require validation.
func (f *engineFlags) define(cmd *cobra.Command) {
	set := cmd.Flags()
	set.StringVar(&f.role, "role", string(engine.Mixed), "prefill, decode or mixed")
	set.StringArrayVar(&f.load, "load", []string{"chat@1"}, "what is loaded, as model[/adapter]@version; may be repeated")
	set.StringVar(&f.fencing, "fencing", "ignored", "checked refuses orders with an old fencing number, ignored does not")
	set.StringVar(&f.crash, "crash-in-order", "", "exit at a point of the first order: before-accept, after-accept, midway or at-end")
}

// faultFlags defines the flags for timing and fault injection.
func faultFlags(cmd *cobra.Command, o *standinengine.Options) {
	f := cmd.Flags()
	f.StringVar(&o.BadVersion, "bad-version", "", "version of weights that fails to load")
	f.Float64Var(&o.Speed, "speed", 1, "model seconds a second")
	f.DurationVar(&o.ReportLag, "report-lag", 500*time.Millisecond, "age of the load figures")
	f.DurationVar(&o.EventLag, "event-lag", 500*time.Millisecond, "age of the cache events")
	f.Uint64Var(&o.EventGap, "event-gap", 0, "drop each n-th cache event; 0 drops none")
}

// modelFlags defines the flags for the engine's speed and memory.
func modelFlags(cmd *cobra.Command, p *enginemodel.Params) {
	f := cmd.Flags()
	f.IntVar(&p.KVTokens, "kv-tokens", p.KVTokens, "cache memory in tokens")
	f.IntVar(&p.BlockTokens, "block-tokens", p.BlockTokens, "prompt tokens that one prefix hash covers")
	f.IntVar(&p.MaxBatch, "max-batch", p.MaxBatch, "sequences that run together")
	f.Float64Var(&p.PrefillRate, "prefill-rate", p.PrefillRate, "prompt tokens a second")
	f.DurationVar(&p.RoleChange, "role-change", p.RoleChange, "time that a change of role takes")
	f.DurationVar(&p.LoadModel, "load-model", p.LoadModel, "time that loading a model takes")
	f.DurationVar(&p.LoadAdapter, "load-adapter", p.LoadAdapter, "time that loading an adapter takes")
}

func crash() {
	klog.Flush()
	os.Exit(crashExit)
}

// apply validates the flags and stores them in o.
func (f *engineFlags) apply(o *standinengine.Options) error {
	o.Role = engine.Role(f.role)
	if !slices.Contains([]engine.Role{engine.Prefill, engine.Decode, engine.Mixed}, o.Role) {
		return &flagError{Flag: "role", Value: f.role}
	}
	if f.fencing != "checked" && f.fencing != "ignored" {
		return &flagError{Flag: "fencing", Value: f.fencing}
	}
	o.CheckFence = f.fencing == "checked"
	o.CrashInOrder = enginemodel.CrashPoint(f.crash)
	if !o.CrashInOrder.Valid() {
		return &flagError{Flag: "crash-in-order", Value: f.crash}
	}
	if o.Speed <= 0 || o.Params.PrefillRate <= 0 {
		return &flagError{Flag: "speed or prefill-rate", Value: "not above zero"}
	}
	if min(o.Params.KVTokens, o.Params.BlockTokens, o.Params.MaxBatch) <= 0 {
		return &flagError{Flag: "kv-tokens, block-tokens or max-batch", Value: "not above zero"}
	}
	for _, name := range f.load {
		a, ok := parseArtifact(name)
		if !ok {
			return &flagError{Flag: "load", Value: name}
		}
		o.Loaded = append(o.Loaded, a)
	}
	return nil
}

// parseArtifact parses model[/adapter]@version.
func parseArtifact(s string) (weightstore.Artifact, bool) {
	name, version, ok := strings.Cut(s, "@")
	model, adapter, _ := strings.Cut(name, "/")
	a := weightstore.Artifact{Model: model, Adapter: adapter, Version: version}
	return a, ok && model != "" && version != ""
}
