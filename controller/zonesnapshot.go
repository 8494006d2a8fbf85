package controller

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/springweir/springweir/contact"
	"github.com/springweir/springweir/engine"
	"github.com/springweir/springweir/internal/clock"
	"github.com/springweir/springweir/peer"
	"github.com/springweir/springweir/peer/viewpb"
	"github.com/springweir/springweir/roles"
	"github.com/springweir/springweir/weightstore"
)

const (
	// viewTimeout bounds one question to an entry.
	viewTimeout = time.Second
	// viewAskers bounds the entries asked at the same time.
	viewAskers = 16
	// demandPerVM is the time between two questions for demand, for each VM that
	// is asked.
	demandPerVM = 500 * time.Millisecond
)

// picture is what this VM's entry sees of the zone, with the roster it holds.
type picture struct {
	fleet  *viewpb.FleetResponse
	roster contact.Roster
}

// picture reads the zone from this VM's entry, which shares the load reports of
// all entries and holds the roster, so neither the engines nor the table are
// asked once more.
func (c *Controller) picture(ctx context.Context) (*picture, error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	resp, err := peer.ViewAt(c.entry, c.transport).Fleet(ctx, &viewpb.FleetRequest{})
	if err != nil {
		return nil, err
	}
	roster, err := contact.Decode(resp.Roster)
	if err != nil {
		return nil, err
	}
	return &picture{fleet: resp, roster: roster}, nil
}

// engines are the pool's engines as the role planner needs them.
func (p *picture) engines(pool string, away map[string]bool) []roles.Engine {
	var list []roles.Engine
	for _, e := range p.fleet.Endpoints {
		if e.Pool != pool {
			continue
		}
		list = append(list, roles.Engine{
			Name:        e.Name,
			Role:        engine.Role(e.Role),
			Unavailable: away[e.Name] || e.Withheld,
			Unusable:    e.Leaving || e.Ejected || !e.Known,
			ReportAge:   time.Duration(e.AgeMs) * time.Millisecond,
			Load: engine.Load{
				Waiting: int(e.Waiting), Running: int(e.Running),
				WaitingTokens: int(e.WaitingTokens), DecodeTokens: int(e.DecodeTokens),
				KVUsed: int(e.KvUsed), KVTotal: int(e.KvTotal),
			},
		})
	}
	return list
}

// demand is what the zone's entries were asked for.
type demand struct {
	roles roles.Demand
	// artifacts are requests a second by what they need loaded.
	artifacts map[weightstore.Artifact]float64
}

// demandEvery is how often the entries of a zone of so many VMs are asked for
// their demand. Each pool's planner asks all of them, so an entry is asked
// pools/demandPerVM times a second however many there are.
func demandEvery(vms int) time.Duration {
	return max(planInterval, time.Duration(vms)*demandPerVM)
}

// demand asks the zone's entries what they were asked for, and puts it
// together. The artifacts are those of the pool.
func (c *Controller) demand(ctx context.Context, roster contact.Roster, pool string) demand {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	var mu sync.Mutex
	var parts []roles.Demand
	artifacts := map[weightstore.Artifact]float64{}
	var g errgroup.Group
	g.SetLimit(viewAskers)
	began := clock.Now()
	for _, vm := range roster.VMs {
		g.Go(func() error {
			resp, err := peer.ViewAt(vm.Address, c.transport).Demand(ctx, &viewpb.DemandRequest{Pool: pool})
			if err != nil {
				return nil // the VM stays missing, which the planner weighs
			}
			mu.Lock()
			defer mu.Unlock()
			parts = append(parts, demandFrom(resp))
			for _, a := range resp.Artifacts {
				artifacts[weightstore.Artifact{Model: a.Model, Adapter: a.Adapter, Version: a.Version}] += a.Rate
			}
			return nil
		})
	}
	_ = g.Wait() // the askers return no error
	return demand{roles: roles.Merge(parts, clock.Since(began), len(roster.VMs)), artifacts: artifacts}
}

func demandFrom(resp *viewpb.DemandResponse) roles.Demand {
	d := roles.Demand{Window: time.Duration(resp.WindowMs) * time.Millisecond}
	for _, c := range resp.Classes {
		d.Classes = append(d.Classes, roles.Class{
			Kind: int(c.Kind), Rate: c.Rate, Prompt: c.Prompt, Output: c.Output,
			Deadline: time.Duration(c.DeadlineMs) * time.Millisecond,
		})
	}
	return d
}
