package gateway

import (
	"context"
	"time"

	"github.com/springweir/springweir/feedshare"
	"github.com/springweir/springweir/poison"
	"github.com/springweir/springweir/roster"
)

const (
	// configBatching is how long configurations are left to gather at the store. They come in
	// quick succession now and then, and each is to be in force soon.
	configBatching = 250 * time.Millisecond
	// rosterBatching is the same for the VMs: hundreds register when a site starts, and nothing
	// waits for one more.
	rosterBatching = 2 * time.Second
	// rosterMaxDelay is within what time each VM is to know of the others. They also tell of
	// themselves in datagrams.
	rosterMaxDelay = 30 * time.Second
	// maxPrecedingReaders is how many VMs one asks before it asks the store itself: the first of
	// the zone, and the one that takes its place if that is gone.
	maxPrecedingReaders = 2
	// maxOutsideReaders is how many VMs one asks that the store does not answer.
	maxOutsideReaders = 3
	// peerListTimeout is how long a VM that starts waits for the list of the others, whom it can
	// then ask for the tables: the store answers in some 10 ms, and a store that is away
	// must not hold up the questions that find that out.
	peerListTimeout = 300 * time.Millisecond
)

// newSources makes the sources of the tables that this VM follows.
func (g *Gateway) newSources() {
	peers := feedshare.NewClient(g.network)
	source := func(name string, maxDelay, batching time.Duration) *feedshare.Source {
		return feedshare.NewSource(name, feedshare.Settings{Within: maxDelay, Gather: batching}, g.platform.Feed, peers, g.readerPosition)
	}
	drain, apply := g.settings.DrainWithin, g.settings.ApplyWithin
	g.configs = source(g.platform.Config.Table, apply, configBatching)
	g.endpoints = source(g.platform.Endpoints, drain, newDrainBudget(drain).batching)
	g.vms = source(roster.Table, rosterMaxDelay, rosterBatching)
	g.verdicts = source(poison.Table, g.settings.ContactWithin, 0)
}

// readerPosition tells which VMs of the zone this one may ask.
func (g *Gateway) readerPosition() feedshare.Place {
	var position feedshare.Place
	for _, p := range g.exchange.PrecedingPeers(maxPrecedingReaders) {
		position.Before = append(position.Before, p.Address.String())
	}
	position.First, position.Rank = g.exchange.IsCollector(), g.exchange.Rank()
	for _, p := range g.exchange.PeersOutsideZone(maxOutsideReaders) {
		position.Elsewhere = append(position.Elsewhere, p.Address.String())
	}
	return position
}

// awaitPeers waits for the list of the other VMs, but not for long.
func (g *Gateway) awaitPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerListTimeout)
	defer cancel()
	select {
	case <-g.roster.Listed():
	case <-ctx.Done():
	}
}
