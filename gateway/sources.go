package gateway

import (
	"context"
	"time"

	"github.com/springweir/springweir/feedshare"
	"github.com/springweir/springweir/poison"
	"github.com/springweir/springweir/roster"
)

const (
	// configBatching is the pause after reading configurations, during which further ones collect at
	// the store. They occasionally come in quick succession, and each must be in force soon.
	configBatching = 250 * time.Millisecond
	// rosterBatching is the same for VMs: hundreds register when a site starts, and nothing waits
	// for a single one.
	rosterBatching = 2 * time.Second
	// rosterMaxDelay is the time within which each VM must receive changes of the roster. VMs also
	// announce themselves in datagrams.
	rosterMaxDelay = 30 * time.Second
	// maxPrecedingReaders is how many VMs of the zone to query before the store: the first of the
	// zone, and the one that takes over if the first is unavailable.
	maxPrecedingReaders = 2
	// maxOutsideReaders is how many VMs of other zones to query if the store does not respond.
	maxOutsideReaders = 3
	// peerListTimeout is how long a starting VM waits for the list of the other VMs, from which it
	// can then read the tables. The store responds in about 10 ms; an unavailable store must not
	// delay the requests that detect that.
	peerListTimeout = 300 * time.Millisecond
)

// newSources creates the sources of the tables that this VM follows.
func (g *Gateway) newSources() {
	peers := feedshare.NewClient(g.network)
	source := func(name string, maxDelay, batching time.Duration) *feedshare.Source {
		return feedshare.NewSource(name, feedshare.Settings{PropagationLimit: maxDelay, CoalesceInterval: batching}, g.platform.Feed, peers, g.readerPosition)
	}
	drain, apply := g.settings.DrainWithin, g.settings.ApplyWithin
	g.configs = source(g.platform.Config.Table, apply, configBatching)
	g.endpoints = source(g.platform.Endpoints, drain, newDrainBudget(drain).batching)
	g.vms = source(roster.Table, rosterMaxDelay, rosterBatching)
	g.verdicts = source(poison.Table, g.settings.ContactWithin, 0)
}

// readerPosition returns this VM's position among the readers, with the VMs that it may query.
func (g *Gateway) readerPosition() feedshare.Position {
	var position feedshare.Position
	for _, p := range g.exchange.PrecedingPeers(maxPrecedingReaders) {
		position.PrecedingPeers = append(position.PrecedingPeers, p.Address.String())
	}
	position.First, position.Rank = g.exchange.IsCollector(), g.exchange.Rank()
	position.PeersOutsideZone = g.readersOutsideZone
	return position
}

// readersOutsideZone returns the addresses of the VMs of other zones that this VM may query.
func (g *Gateway) readersOutsideZone() []string {
	var addresses []string
	for _, p := range g.exchange.PeersOutsideZone(maxOutsideReaders) {
		addresses = append(addresses, p.Address.String())
	}
	return addresses
}

// awaitPeers waits up to peerListTimeout for the list of the other VMs.
func (g *Gateway) awaitPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerListTimeout)
	defer cancel()
	select {
	case <-g.roster.Listed():
	case <-ctx.Done():
	}
}
