package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/springweir/springweir/fleet"
	"github.com/springweir/springweir/health"
	"github.com/springweir/springweir/peer/viewpb"
	"github.com/springweir/springweir/routing"
	"github.com/springweir/springweir/weightstore"
)

// viewServer implements viewpb.View: it serves this entry's view of its zone to the
// controllers of the zone and to the entries of other zones. It is read-only.
type viewServer struct{ entry *Entry }

// Demand implements viewpb.View.
func (s *viewServer) Demand(_ context.Context, req *viewpb.DemandRequest) (*viewpb.DemandResponse, error) {
	d := s.entry.common.demand.poolDemand(req.Pool)
	resp := &viewpb.DemandResponse{WindowMs: d.Window.Milliseconds()}
	for _, c := range d.Classes {
		resp.Classes = append(resp.Classes, &viewpb.DemandClass{
			Kind: int32(c.Kind), Rate: c.Rate, Prompt: c.Prompt, Output: c.Output,
			DeadlineMs: c.Deadline.Milliseconds(),
		})
	}
	for a, rate := range s.entry.common.demand.artifactRates() {
		if s.entry.cat.poolOf(a.Model) != req.Pool {
			continue
		}
		resp.Artifacts = append(resp.Artifacts, &viewpb.ArtifactDemand{
			Model: a.Model, Adapter: a.Adapter, Version: a.Version, Rate: rate,
		})
	}
	return resp, nil
}

// Fleet implements viewpb.View.
func (s *viewServer) Fleet(_ context.Context, req *viewpb.FleetRequest) (*viewpb.FleetResponse, error) {
	resp := &viewpb.FleetResponse{
		Vm:       s.entry.process.VM,
		Zone:     s.entry.process.Zone,
		Config:   uint64(s.entry.applier.Current().Version),
		Standing: string(s.entry.member.Status()),
	}
	if req.Brief {
		return resp, nil
	}
	resp.Roster = s.entry.member.Roster().Encode()
	now := s.entry.common.now()
	for _, endpoint := range s.entry.common.store.Snapshot().Endpoints() {
		resp.Endpoints = append(resp.Endpoints, s.endpointView(endpoint, now))
	}
	return resp, nil
}

func (s *viewServer) endpointView(e *fleet.Endpoint, now time.Duration) *viewpb.EndpointView {
	return &viewpb.EndpointView{
		Name:          e.Name,
		Pool:          e.Pool,
		Service:       e.Service,
		Role:          string(e.Role),
		Incarnation:   e.Incarnation,
		Streams:       uint32(s.entry.gate.Streams(e.Name)),
		Leaving:       e.Leaving || e.SelfLeaving,
		Withheld:      s.entry.gate.Withheld(e.Name),
		Ejected:       e.Health.Phase != health.Healthy,
		Known:         e.Reported || e.Kind == fleet.Service,
		AgeMs:         e.Age(now).Milliseconds(),
		Loaded:        loadedArtifacts(e.Loaded),
		Waiting:       int32(e.Load.Waiting),
		Running:       int32(e.Load.Running),
		WaitingTokens: int64(e.Load.WaitingTokens),
		DecodeTokens:  int64(e.Load.DecodeTokens),
		KvUsed:        int64(e.Load.KVUsed),
		KvTotal:       int64(e.Load.KVTotal),
	}
}

func loadedArtifacts(list []weightstore.Artifact) []*viewpb.LoadedArtifact {
	var out []*viewpb.LoadedArtifact
	for _, a := range list {
		out = append(out, &viewpb.LoadedArtifact{Model: a.Model, Adapter: a.Adapter, Version: a.Version})
	}
	return out
}

// Room implements viewpb.View. An entry that is stopping, or whose own requests are queued,
// offers no capacity.
func (s *viewServer) Room(_ context.Context, req *viewpb.RoomRequest) (*viewpb.RoomResponse, error) {
	if s.entry.stopping.Load() {
		return &viewpb.RoomResponse{}, nil
	}
	c := s.entry.common
	return roomResponse(zoneSummaryOf(c.store.Snapshot(), c.now(), s.entry.upstreams.waiting(), c.zones.entryCount()), req.Held), nil
}

// zoneSummaryOf returns the capacity that this entry offers to one entry of another zone,
// of which there are senders. It assumes the default engine speeds, since the zone's pools
// may differ in theirs.
func zoneSummaryOf(s *fleet.Snapshot, now time.Duration, waiting, senders int) fleet.ZoneSummary {
	if waiting > 0 {
		return fleet.ZoneSummary{Zone: s.Zone, Reachable: true}
	}
	return routing.New(routing.DefaultConfig()).Summary(s, now, senders)
}

// roomResponse encodes a zone's offered capacity. It omits the models if their digest is
// heldDigest.
func roomResponse(r fleet.ZoneSummary, heldDigest uint64) *viewpb.RoomResponse {
	resp := &viewpb.RoomResponse{
		Tokens:     int64(r.PromptBudget),
		TtftUs:     r.TTFT.Microseconds(),
		PerTokenUs: r.PerToken.Microseconds(),
		Digest:     modelsDigest(r.Models),
	}
	if resp.Digest != heldDigest {
		resp.Models = loadedArtifacts(r.Models)
	}
	return resp
}

// modelsDigest returns a digest of the list. It is never zero, which stands for no list.
func modelsDigest(models []weightstore.Artifact) uint64 {
	d := xxhash.New()
	for _, a := range models {
		for _, part := range []string{a.Model, a.Adapter, a.Version} {
			_, _ = d.WriteString(part) // never fails
			_, _ = d.Write([]byte{0})
		}
	}
	return max(1, d.Sum64())
}
