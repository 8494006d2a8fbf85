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
	// viewTimeout bounds one query to an entry.
	viewTimeout = time.Second
	// maxConcurrentViews is the maximum number of entries queried concurrently.
	maxConcurrentViews = 16
	// demandPerVM is the interval between demand queries per VM of the zone.
	demandPerVM = 500 * time.Millisecond
)

// zoneSnapshot is the state of the zone as reported by this VM's entry, and the entry's roster.
type zoneSnapshot struct {
	fleet  *viewpb.FleetResponse
	roster contact.Roster
}

// readZone reads the state of the zone from this VM's entry. The entry has the load reports of all
// entries and the roster, so that neither the engines nor the table need to be queried.
func (c *Controller) readZone(ctx context.Context) (*zoneSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	resp, err := peer.ViewAt(c.entryAddress, c.transport).Fleet(ctx, &viewpb.FleetRequest{})
	if err != nil {
		return nil, err
	}
	roster, err := contact.Decode(resp.Roster)
	if err != nil {
		return nil, err
	}
	return &zoneSnapshot{fleet: resp, roster: roster}, nil
}

// engines returns the pool's engines as input to the role planner. Engines in changing count as
// unavailable.
func (s *zoneSnapshot) engines(pool string, changing map[string]bool) []roles.Engine {
	var list []roles.Engine
	for _, e := range s.fleet.Endpoints {
		if e.Pool != pool {
			continue
		}
		list = append(list, roles.Engine{
			Name:        e.Name,
			Role:        engine.Role(e.Role),
			Unavailable: changing[e.Name] || e.Withheld,
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

// zoneDemand is the demand for a pool, aggregated over the zone's entries.
type zoneDemand struct {
	roles roles.Demand
	// artifacts holds the requests per second by the artifact that they need.
	artifacts map[weightstore.Artifact]float64
}

// demandInterval returns the interval at which the entries of a zone of so many VMs are queried for
// their demand. Each pool's planner queries all entries once per interval, so the zone's entries
// together receive pools/demandPerVM queries per second, however many there are.
func demandInterval(vms int) time.Duration {
	return max(planInterval, time.Duration(vms)*demandPerVM)
}

// queryDemand queries the demand for a pool from all entries of the roster and aggregates it.
// Entries that do not respond count as missing.
func (c *Controller) queryDemand(ctx context.Context, roster contact.Roster, pool string) zoneDemand {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	var mu sync.Mutex
	var parts []roles.Demand
	artifacts := map[weightstore.Artifact]float64{}
	var g errgroup.Group
	g.SetLimit(maxConcurrentViews)
	start := clock.Now()
	for _, vm := range roster.VMs {
		g.Go(func() error {
			resp, err := peer.ViewAt(vm.Address, c.transport).Demand(ctx, &viewpb.DemandRequest{Pool: pool})
			if err != nil {
				return nil // the planner accounts for missing VMs
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
	_ = g.Wait() // the functions return no error
	return zoneDemand{roles: roles.Merge(parts, clock.Since(start), len(roster.VMs)), artifacts: artifacts}
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
