package gateway

import (
	"context"
	"time"

	"github.com/springweir/springweir/feedshare"
	"github.com/springweir/springweir/poison"
	"github.com/springweir/springweir/roster"
)

const (
	// gatherConfig is how long configurations are left to gather at the store. They come in
	// quick succession now and then, and each is to be in force soon.
	gatherConfig = 250 * time.Millisecond
	// gatherRoster is the same for the VMs: hundreds register when a site starts, and nothing
	// waits for one more.
	gatherRoster = 2 * time.Second
	// rosterWithin is within what time each VM is to know of the others. They also tell of
	// themselves in datagrams.
	rosterWithin = 30 * time.Second
	// readersBefore is how many VMs one asks before it asks the store itself: the first of
	// the zone, and the one that takes its place if that is gone.
	readersBefore = 2
	// readersElsewhere is how many VMs one asks that the store does not answer.
	readersElsewhere = 3
	// peersWait is how long a VM that starts waits for the list of the others, whom it can
	// then ask for the tables: the store answers in some 10 ms, and a store that is away
	// must not hold up the questions that find that out.
	peersWait = 300 * time.Millisecond
)

// newSources makes the sources of the tables that this VM follows.
func (g *Gateway) newSources() {
	peers := feedshare.NewClient(g.network)
	source := func(name string, within, gather time.Duration) *feedshare.Source {
		return feedshare.NewSource(name, feedshare.Settings{PropagationLimit: within, CoalesceInterval: gather}, g.platform.Feed, peers, g.place)
	}
	drain, apply := g.settings.DrainWithin, g.settings.ApplyWithin
	g.configs = source(g.platform.Config.Table, apply, gatherConfig)
	g.endpoints = source(g.platform.Endpoints, drain, newDrainBudget(drain).gather)
	g.vms = source(roster.Table, rosterWithin, gatherRoster)
	g.verdicts = source(poison.Table, g.settings.ContactWithin, 0)
}

// place tells which VMs of the zone this one may ask.
func (g *Gateway) place() feedshare.Position {
	var place feedshare.Position
	for _, p := range g.exchange.PrecedingPeers(readersBefore) {
		place.PrecedingPeers = append(place.PrecedingPeers, p.Address.String())
	}
	place.First, place.Rank = g.exchange.IsCollector(), g.exchange.Rank()
	for _, p := range g.exchange.PeersOutsideZone(readersElsewhere) {
		place.PeersOutsideZone = append(place.PeersOutsideZone, p.Address.String())
	}
	return place
}

// awaitPeers waits for the list of the other VMs, but not for long.
func (g *Gateway) awaitPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peersWait)
	defer cancel()
	select {
	case <-g.roster.Listed():
	case <-ctx.Done():
	}
}
