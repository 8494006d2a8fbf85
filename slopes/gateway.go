package slopes

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/springweir/springweir/directory"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/loadshare"
	"github.com/springweir/springweir/loadshare/sharepb"
	"github.com/springweir/springweir/placement"
	"github.com/springweir/springweir/prompt"
	"github.com/springweir/springweir/relay"
	"github.com/springweir/springweir/routes"
)

const (
	// serviceName is the one service of these scenarios.
	serviceName = "llm"
	// toldFor is how long a collector tells its zone in one measurement.
	toldFor = 2 * time.Second
)

func gatewayScenarios() []Scenario {
	return []Scenario{
		{"engine-in-gateway", "engine known", []int{50, zoneEngines, targetEngines}, engineInGateway},
		{"placement", "placement among the engines of a zone", []int{500, 2500}, placements},
		{"zone-sum", "VM of the zone that a collector tells, a second, with work at all engines of the zone", []int{63}, zoneSum},
	}
}

// planner is a gateway's planner that knows so many engines, a third of which decode.
func planner(engines int) *placement.Planner {
	config := &routes.Config{Services: []routes.Service{{
		Name:   serviceName,
		Engine: &routes.Engine{Slots: 64, KVTokens: 500_000, KVTokenBytes: 131_072, LinkBitsPerSecond: 1e12},
	}}}
	config.Index()
	var p *placement.Planner
	d := directory.New(func(old, now *directory.Snapshot) { p.SetEndpoints(old, now) })
	p = placement.New(placement.Config{
		Zone: zoneName, Directory: d, Routes: func() *routes.Config { return config },
		Ordered: func() []string { return nil }, Tuning: placement.DefaultTuning(),
	})
	var list []directory.Registration
	for i := range engines {
		role := engine.Prefill
		if i%3 == 0 {
			role = engine.Decode
		}
		list = append(list, directory.Registration{
			ID: fmt.Sprintf("i-%08x", i), Service: serviceName, Address: "10.0.0.1:9000", Zone: zoneName, Slots: 64, Role: role,
		})
	}
	d.Replace(list, false)
	return p
}

func engineInGateway(_ context.Context, n int) (Figures, error) {
	_, state := kept(func() *placement.Planner { return planner(n) })
	return Figures{State: state}, nil
}

// placements measures n decisions on prompts of three parts, each ended at once.
func placements(_ context.Context, n int) (Figures, error) {
	p := planner(zoneEngines)
	route := &routes.Route{Kind: routes.Stream, Resumable: true, MaxAttempts: 2, Objective: time.Second}
	cpu, err := cpuOf(func() error {
		return repeat(n, func(i int) error {
			plan, failed := p.Plan(&relay.Request{
				ID: fmt.Sprint(i), Service: serviceName, Route: route, Received: time.Now(),
				Prompt: &prompt.Prompt{Tokens: 9000, Parts: []prompt.Part{
					{ID: fmt.Sprint("system", i%4), Tokens: 2500}, {ID: fmt.Sprint("subject", i%1000), Tokens: 3500}, {ID: fmt.Sprint(i), Tokens: 3000},
				}},
			}, relay.Try{})
			if failed != nil {
				return failed
			}
			plan.Watch.Finished(nil, true)
			return nil
		})
	})
	return Figures{CPU: cpu}, err
}

// zoneSum measures a collector that tells n VMs of its zone for toldFor.
func zoneSum(ctx context.Context, n int) (Figures, error) {
	sink, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return Figures{}, err
	}
	defer sink.Close()
	x, err := collector(n, sink.LocalAddr().(*net.UDPAddr).AddrPort())
	if err != nil {
		return Figures{}, err
	}
	before := loadshare.SentBytes()
	cpu, err := cpuOf(func() error {
		ctx, cancel := context.WithTimeout(ctx, toldFor)
		defer cancel()
		return x.Run(ctx)
	})
	seconds := toldFor.Seconds()
	return Figures{Wire: float64(loadshare.SentBytes()-before) / seconds, CPU: cpu / seconds}, err
}

// collector is an exchange that tells n VMs of its zone, all at one address.
func collector(n int, address netip.AddrPort) (*loadshare.Exchange, error) {
	free, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	own := free.LocalAddr().String()
	if err := free.Close(); err != nil {
		return nil, err
	}
	x := loadshare.New(loadshare.Config{
		VM: "vm-000", Zone: zoneName, Address: own, Strength: 1000,
		Own: func() loadshare.Report { return loadshare.Report{Work: workEverywhere()} }, Heard: func(*sharepb.Load) {},
	})
	var peers []loadshare.Peer
	for i := range n {
		peers = append(peers, loadshare.Peer{Name: fmt.Sprintf("vm-%03d", i+1), Zone: zoneName, Address: address})
	}
	x.SetPeers(peers)
	return x, nil
}

// workEverywhere is work at every engine of a zone.
func workEverywhere() []*sharepb.Work {
	var list []*sharepb.Work
	for i := range zoneEngines {
		list = append(list, &sharepb.Work{
			Endpoint: loadshare.Hash(fmt.Sprintf("i-%08x", i)), PrefillTokens: 20_000, Runs: 40, KvTokens: 300_000,
		})
	}
	return list
}
